/** Failures of calls to the state store. */

/**
 * Whether the request of a failed call can have had an effect: `rejected` means that it was not executed and never will
 * be, `unknown` that it may have been executed or may yet be.
 */
export type StateStoreOutcome = "rejected" | "unknown";

/** What is known of a failed call. */
export interface StateStoreErrorDetails extends ErrorOptions {
  readonly outcome: StateStoreOutcome;
  /** The HTTP status that the state store answered with; absent if no usable answer came. */
  readonly status?: number;
}

/** A call to the state store did not succeed. */
export class StateStoreError extends Error {
  override readonly name = "StateStoreError";
  readonly outcome: StateStoreOutcome;
  /** The HTTP status of the answer; null if none came, or one that does not follow the protocol. */
  readonly status: number | null;

  constructor(message: string, details: StateStoreErrorDetails) {
    super(message, details);
    this.outcome = details.outcome;
    this.status = details.status ?? null;
  }
}

/** Whether the state store answered the failed call with an HTTP status; a rejection is an answer, too. */
export const receivedResponse = (err: unknown): boolean =>
  err instanceof StateStoreError && err.status !== null;
