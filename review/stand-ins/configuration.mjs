import { names } from './names.mjs'

export const HOST = 'case.example'

/** One version of the operator's configuration, with routes of plain services. */
export function buildConfiguration (version, routes) {
  const services = [...new Set(routes.map(({ service }) => service))]
  return {
    version,
    routes: routes.map(({ prefix, kind, timeoutMs, service, attempts = 1 }, at) => ({
      name: `route-${at + 1}`,
      host: HOST,
      [names.route.prefix]: prefix,
      kind,
      timeoutMs,
      targetLatencyMs: 150,
      priority: 2,
      service,
      maxAttempts: attempts,
    })),
    services: services.map((name) => ({ name, [names.service.health]: '/health', [names.service.connections]: 100, protocol: 'h1', tls: false })),
    limits: names.limits,
  }
}

/** Writes the runner's entry now and about every `beatMs`; returns a function that ends this. */
export function keepEntry (store, runner, beatMs = 1_200) {
  let beat = 0
  const write = () => store.put('servers', runner.id, runner.buildEntry(++beat))
  write()
  const timer = setInterval(write, beatMs)
  return () => clearInterval(timer)
}
