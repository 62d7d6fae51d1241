/** Failures of calls to the cloud. */

/** What is known of a failed call. */
export interface CloudErrorDetails extends ErrorOptions {
  /** The HTTP status that the cloud answered with; absent if no answer came. */
  readonly status?: number;
}

/** The cloud gave no usable answer: the request may have been executed, or may yet be. */
export class CloudError extends Error {
  override readonly name = "CloudError";
  /** The HTTP status of the answer; null if none came. */
  readonly status: number | null;

  constructor(message: string, details: CloudErrorDetails) {
    super(message, details);
    this.status = details.status ?? null;
  }
}
