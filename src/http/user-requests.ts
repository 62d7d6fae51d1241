/** Maps users' requests (method, path, body) to responses (status, body) as the protocol specifies. */
import type { JobService, JobLookup } from "../jobs/job-service.js";
import {
  acceptedToWire,
  isJobId,
  parseSubmission,
  paths,
  statusToWire,
  type JobStatus,
} from "../wire/index.js";

/** A user's request, independent of HTTP. */
export interface UserRequest {
  method: string;
  path: string;
  /** The parsed JSON body; undefined if it is missing, invalid JSON or too long. */
  body: unknown;
}

/** The response to a user's request, independent of HTTP. */
export interface UserResponse {
  status: number;
  body: object;
  /** The only method that the path allows; set if the request used another. */
  allow?: string;
}

/** Handles users' requests; implementations answer them locally or forward them to a peer. */
export interface UserRequestHandler {
  handle(request: UserRequest): Promise<UserResponse>;
}

/** The operation that a path denotes. */
interface Route {
  /** The only allowed method. */
  allow: string;
  respond(): Promise<UserResponse>;
}

/** The length to which an unknown path is truncated in an error response, in characters. */
const MAX_QUOTED_PATH = 100;

/** Answers users' requests with the job service of this process. */
export class JobRequestHandler implements UserRequestHandler {
  constructor(private readonly jobs: JobService) {}

  /** Answers a request; responds with 404 to an unknown path and with 405 to a method that the path does not allow. */
  async handle(request: UserRequest): Promise<UserResponse> {
    const { method, path } = request;
    const route = this.route(request);
    if (route === null) return errorResponse(404, `nothing at ${method} ${path.slice(0, MAX_QUOTED_PATH)}`);
    const { allow } = route;
    if (allow !== method) return { ...errorResponse(405, `use ${allow}`), allow };
    return route.respond();
  }

  private route({ path, body }: UserRequest): Route | null {
    if (path === paths.submit) return { allow: "POST", respond: () => this.submit(body) };
    const cancelId = paths.cancel.exec(path)?.[1];
    if (cancelId !== undefined) return { allow: "POST", respond: () => this.cancel(cancelId) };
    const jobId = paths.job.exec(path)?.[1];
    if (jobId !== undefined) return { allow: "GET", respond: () => this.lookUp(jobId) };
    return null;
  }

  private async submit(body: unknown): Promise<UserResponse> {
    const parsed = parseSubmission(body);
    if (!parsed.ok) return errorResponse(400, parsed.error);
    const result = await this.jobs.submit(parsed.value);
    switch (result.kind) {
      case "accepted":
        return { status: result.isNew ? 201 : 200, body: acceptedToWire(parsed.value.id, result.stage) };
      case "malformed":
        return errorResponse(400, result.reason);
      case "impossible":
        return errorResponse(422, result.reason);
      case "unavailable":
        return errorResponse(503, "cannot decide now");
    }
  }

  private async cancel(id: string): Promise<UserResponse> {
    const result: JobLookup = isJobId(id) ? await this.jobs.cancel(id) : { kind: "unknown" };
    return lookupResponse(result, ({ stage }) => acceptedToWire(id, stage));
  }

  private async lookUp(id: string): Promise<UserResponse> {
    const result: JobLookup = isJobId(id) ? await this.jobs.lookUp(id) : { kind: "unknown" };
    return lookupResponse(result, statusToWire);
  }
}

function lookupResponse(result: JobLookup, bodyOf: (status: JobStatus) => object): UserResponse {
  switch (result.kind) {
    case "found":
      return { status: 200, body: bodyOf(result.status) };
    case "unknown":
      return errorResponse(404, "no such job");
    case "unavailable":
      return errorResponse(503, "cannot say now");
  }
}

function errorResponse(status: number, error: string): UserResponse {
  return { status, body: { error } };
}
