/** The term of one shard's owner: whether it may act for the shard now, and with which fencing token. */
import type { Shard } from "./shard.js";
import type { ShardOwnerCallbacks } from "./shard-owner-messages.js";

/** What the parts of an owner need to know of its term. */
export interface OwnerTerm {
  /** The shard's fencing token; null if the owner may not act for the shard now. */
  currentToken(): number | null;
  /** Whether another owner has taken over: nothing that was begun in this term is retried any more. */
  hasEnded(): boolean;
}

/** The term of an owner in this process. */
export class ShardTerm implements OwnerTerm {
  private lastToken: number | null = null;
  private ended = false;

  constructor(
    private readonly shard: Shard,
    private readonly callbacks: Pick<ShardOwnerCallbacks, "authority">,
  ) {}

  currentToken(): number | null {
    const authority = this.callbacks.authority();
    if (!authority.held) return null;
    this.updateToken(authority.token);
    return authority.token;
  }

  hasEnded(): boolean {
    return this.ended;
  }

  /** Ends the term: the shard has another owner. */
  end(): void {
    this.ended = true;
  }

  /** Tells the shard if the token has been advanced within the term. */
  updateToken(token: number): void {
    if (token === this.lastToken) return;
    this.lastToken = token;
    this.shard.addTermToken(token);
    this.shard.resetAttempts();
  }
}
