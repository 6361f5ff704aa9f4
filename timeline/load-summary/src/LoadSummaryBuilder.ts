import { readNumber, readText, type LogLine } from '@pulleystack/timeline.story'
import { FailureTally } from './FailureTally.js'
import { WaitOutcomes, type LoadSummary, type StreamFigures, type WaitOutcome } from './LoadSummary.js'
import { PlacementTally } from './PlacementTally.js'
import { RequestTracker, type OpenRequest } from './RequestTracker.js'
import { StreamTally, type EndedStream } from './StreamTally.js'
import { TallyMap } from './TallyMap.js'
import { WaitTally } from './WaitTally.js'

export interface LoadSummaryOptions {
  /** Longest pause allowed within a stream, in milliseconds; undefined leaves out the share of streams over it. */
  allowedPauseMs?: number
}

/** Code of a request that was not rejected by the instance; the server's response may still be an error. */
const NO_ERROR_CODE = 'OK'
const MIN_ERROR_STATUS = 400

/** Builds the summary from the lines of all instances; the lines of one instance have to be in order. */
export class LoadSummaryBuilder {
  private lines = 0
  private skippedLines = 0
  private requests = 0
  private succeeded = 0
  private relayed = 0
  private readonly tracker = new RequestTracker()
  private readonly waits = new WaitTally()
  private readonly failures = new FailureTally()
  private readonly placement = new PlacementTally()
  private readonly streams: StreamTally
  private readonly servers: TallyMap<StreamTally>
  private readonly models: TallyMap<StreamTally>
  private readonly routes: TallyMap<StreamTally>

  constructor ({ allowedPauseMs }: LoadSummaryOptions = {}) {
    const create = (): StreamTally => new StreamTally(allowedPauseMs)
    this.streams = create()
    this.servers = new TallyMap(create)
    this.models = new TallyMap(create)
    this.routes = new TallyMap(create)
  }

  /** Counts a line that is not a log line. */
  recordSkipped (): void {
    this.skippedLines++
  }

  add (line: LogLine): void {
    this.lines++
    if (line.kind === 'request-waiting') this.tracker.recordWaiting(line)
    else if (line.kind === 'attempt-sent') this.recordSent(line)
    else if (line.kind === 'stream-resumed') this.tracker.recordResumed(line)
    else if (line.kind === 'request-relayed') this.tracker.recordRelayed(line)
    else if (line.kind === 'request-ended') this.recordEnded(line)
    else if (line.kind === 'load-planned') this.placement.recordPlanned(line)
    else if (line.kind === 'order-sent') this.placement.recordSent(line)
    else if (line.kind === 'order-settled') this.placement.recordSettled(line)
  }

  build (): LoadSummary {
    const open = this.tracker.list()
    return {
      lines: this.lines,
      skippedLines: this.skippedLines,
      requests: this.requests,
      succeeded: this.succeeded,
      relayed: this.relayed,
      unfinished: open.length,
      streams: this.streams.build('all'),
      servers: buildRows(this.servers),
      models: buildRows(this.models),
      routes: buildRows(this.routes),
      waits: this.waits.list(open.flatMap(({ wait }) => wait ?? [])),
      failures: this.failures.list(),
      loads: this.placement.listLoads(),
      orders: this.placement.listOrders(),
    }
  }

  private recordSent (line: LogLine): void {
    const wait = this.tracker.recordSent(line)
    if (wait) this.waits.add(wait, WaitOutcomes.SERVED, line.at)
  }

  private recordEnded (line: LogLine): void {
    const request = this.tracker.end(line)
    // Without a response of the other instance, only this one knows how the request ended.
    if (request?.isRelayed && readText(line, 'code') === NO_ERROR_CODE) {
      this.relayed++
      return
    }
    const isSuccess = hasSucceeded(line)
    this.requests++
    if (isSuccess) this.succeeded++
    else this.failures.add(line)
    if (request?.wait) this.waits.add(request.wait, chooseOutcome(line, isSuccess), line.at)
    const stream = buildStream(line, request)
    if (stream) this.addStream(stream, readText(line, 'route') ?? '', request)
  }

  private addStream (stream: EndedStream, route: string, request: OpenRequest | undefined): void {
    this.streams.add(stream)
    this.routes.get(route).add(stream)
    if (request?.sent?.model !== undefined) this.models.get(request.sent.model).add(stream)
    if (!request?.sent) return
    const server = this.servers.get(request.sent.backend)
    if (stream.isResumed) server.recordResumed()
    else server.add(stream)
  }
}

function hasSucceeded (ended: LogLine): boolean {
  return readText(ended, 'code') === NO_ERROR_CODE && (readNumber(ended, 'status') ?? 0) < MIN_ERROR_STATUS
}

/** Chooses the outcome of a wait that was not followed by a sending. After success, the line of the sending is missing from the log. */
function chooseOutcome (ended: LogLine, isSuccess: boolean): WaitOutcome {
  const code = readText(ended, 'code') ?? ''
  if (isSuccess) return WaitOutcomes.SERVED
  if (code === 'CALLER_GONE') return WaitOutcomes.CLIENT_GONE
  return code.startsWith('DEADLINE') ? WaitOutcomes.EXPIRED : WaitOutcomes.REJECTED
}

/** Returns undefined if the request was not a stream, or had no event. */
function buildStream (ended: LogLine, request: OpenRequest | undefined): EndedStream | undefined {
  const firstMs = readNumber(ended, 'firstMs')
  if (firstMs === undefined) return undefined
  const isResumed = request?.isResumed ?? false
  const sent = request?.sent
  const sentMs = sent && sent.at - (ended.at - (readNumber(ended, 'ms') ?? 0))
  return {
    firstMs,
    longestPauseMs: readNumber(ended, 'longestPauseMs') ?? 0,
    isResumed,
    sentFirstMs: sentMs === undefined || isResumed ? undefined : Math.max(0, firstMs - sentMs),
    running: sent?.running,
    prefillTokens: sent?.prefillTokens,
  }
}

function buildRows (tallies: TallyMap<StreamTally>): StreamFigures[] {
  const rows = tallies.list().map(([name, tally]) => tally.build(name))
  return rows.sort((a, b) => (b.overPauseShare ?? 0) - (a.overPauseShare ?? 0) || b.streams - a.streams)
}
