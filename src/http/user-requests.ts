/** What users ask, answered as the protocol says: from a method, a path and a body to a status and a body. */
import type { JobService, JobLookup } from "../jobs/job-service.js";
import { acceptedToWire, isJobId, parseSubmission, paths, statusToWire } from "../wire/index.js";

/** A user's request, freed of HTTP. */
export interface UserRequest {
  method: string;
  path: string;
  /** The body as JSON; undefined where it is none or too long. */
  body: unknown;
}

/** The answer to a user, freed of HTTP. */
export interface UserResponse {
  status: number;
  body: object;
  /** The only method that a path takes, where another was used. */
  allow?: string;
}

/** Whoever answers users' requests: this node itself, or one that passes on what it cannot answer. */
export interface UserRequestHandler {
  handle(request: UserRequest): Promise<UserResponse>;
}

interface Route {
  allow: string;
  answer(): Promise<UserResponse>;
}

/** Answers users' requests from the job service. */
export class JobRequestHandler implements UserRequestHandler {
  constructor(private readonly jobs: JobService) {}

  handle(request: UserRequest): Promise<UserResponse> {
    const { method, path } = request;
    const route = this.route(request);
    if (route === null)
      return Promise.resolve({ status: 404, body: { error: `nothing at ${method} ${path.slice(0, 100)}` } });
    if (route.allow !== method)
      return Promise.resolve({
        status: 405,
        body: { error: `use ${route.allow}` },
        allow: route.allow,
      });
    return route.answer();
  }

  private route({ path, body }: UserRequest): Route | null {
    const job = paths.job.exec(path)?.[1];
    const cancel = paths.cancel.exec(path)?.[1];
    if (path === paths.submit) return { allow: "POST", answer: () => this.submit(body) };
    if (cancel !== undefined)
      return { allow: "POST", answer: () => this.look(cancel, (id) => this.jobs.cancel(id), false) };
    if (job !== undefined)
      return { allow: "GET", answer: () => this.look(job, (id) => this.jobs.lookUp(id), true) };
    return null;
  }

  private async submit(body: unknown): Promise<UserResponse> {
    const parsed = parseSubmission(body);
    if (!parsed.ok) return { status: 400, body: { error: parsed.error } };
    const result = await this.jobs.submit(parsed.value);
    switch (result.kind) {
      case "accepted":
        return { status: result.fresh ? 201 : 200, body: acceptedToWire(parsed.value.id, result.stage) };
      case "malformed":
        return { status: 400, body: { error: result.reason } };
      case "impossible":
        return { status: 422, body: { error: result.reason } };
      case "unavailable":
        return { status: 503, body: { error: "cannot decide now" } };
    }
  }

  private async look(
    id: string,
    find: (id: string) => Promise<JobLookup>,
    counts: boolean,
  ): Promise<UserResponse> {
    const result: JobLookup = isJobId(id) ? await find(id) : { kind: "unknown" };
    if (result.kind === "unknown") return { status: 404, body: { error: "no such job" } };
    if (result.kind === "unavailable") return { status: 503, body: { error: "cannot say now" } };
    return {
      status: 200,
      body: counts ? statusToWire(result.status) : acceptedToWire(id, result.status.stage),
    };
  }
}
