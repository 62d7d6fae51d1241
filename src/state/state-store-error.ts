/** The error of a failed state store call, which states whether the request may have been executed. */

/**
 * Whether the request of a failed call may have been executed: `rejected` means that it was not executed and never will
 * be, `unknown` that it may have been executed or may still be.
 */
export type StateStoreOutcome = "rejected" | "unknown";

/** Details of a failed call. */
export interface StateStoreErrorDetails extends ErrorOptions {
  readonly outcome: StateStoreOutcome;
  /** The HTTP status of the response; absent if there was no response or it does not match the protocol. */
  readonly status?: number;
}

/** Thrown when a call to the state store fails. */
export class StateStoreError extends Error {
  override readonly name = "StateStoreError";
  readonly outcome: StateStoreOutcome;
  /** The HTTP status of the response; null if there was no response or it does not match the protocol. */
  readonly status: number | null;

  constructor(message: string, details: StateStoreErrorDetails) {
    super(message, details);
    this.outcome = details.outcome;
    this.status = details.status ?? null;
  }
}

/** Whether the failed call got an HTTP status from the state store; a rejection counts as a response, too. */
export const hasResponse = (err: unknown): boolean => err instanceof StateStoreError && err.status !== null;
