import { Subject } from 'rxjs'

/** An error that no caller handles. */
export interface TaskFailure {
  /** Name of the task or of the handler. */
  task: string
  error: unknown
}

/** Emits the failures of all background tasks of this process. */
export const taskFailures = new Subject<TaskFailure>()

/** Reports an error that no caller handles; throws it if the failures have no observer. */
export function reportTaskFailure (failure: TaskFailure): void {
  if (!taskFailures.observed) throw failure.error
  taskFailures.next(failure)
}
