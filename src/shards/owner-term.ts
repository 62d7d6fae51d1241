/** The term of one shard's owner: whether the owner may act for the shard now, and with which fencing token. */
import type { Shard } from "./shard.js";
import type { ShardOwnerCallbacks } from "./shard-owner-messages.js";

/** The term of an owner, as its modules see it. */
export interface OwnerTerm {
  /** Returns the shard's fencing token; null if the owner may not act for the shard now. */
  currentToken(): number | null;
  /** Whether another owner has taken over: operations begun in this term are not retried any more. */
  hasEnded(): boolean;
}

/** The term of an owner in this process. */
export class ShardTerm implements OwnerTerm {
  private lastToken: number | null = null;
  private isEnded = false;

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
    return this.isEnded;
  }

  /** Ends the term because the shard has another owner. */
  end(): void {
    this.isEnded = true;
  }

  /** Passes a new token of this term to the shard and restarts its attempt numbers. */
  updateToken(token: number): void {
    if (token === this.lastToken) return;
    this.lastToken = token;
    this.shard.addTermToken(token);
    this.shard.resetAttempts();
  }
}
