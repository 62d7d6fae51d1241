/** The error for failed calls to the cloud. */

/** Details of a failed call. */
export interface CloudErrorDetails extends ErrorOptions {
  /** The HTTP status of the response; absent if there was none. */
  readonly status?: number;
}

/** The cloud returned no usable response: the request may have been executed, or may still be executed later. */
export class CloudError extends Error {
  override readonly name = "CloudError";
  /** The HTTP status of the response; null if there was none. */
  readonly status: number | null;

  constructor(message: string, details: CloudErrorDetails) {
    super(message, details);
    this.status = details.status ?? null;
  }
}
