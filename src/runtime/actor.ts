/**
 * An actor: it owns its state, and the only way in is a message. It is a Writable stream in object mode, so
 * feeds can be piped into it and a sender can see from `writableNeedDrain` that it is behind.
 */
import { Writable } from "node:stream";
import type { Logger } from "pino";

/** The base of all actors: a mailbox, and one message at a time. */
export abstract class Actor<M> extends Writable {
  constructor(
    protected readonly log: Logger,
    mailbox = 1024,
  ) {
    super({ objectMode: true, highWaterMark: mailbox });
  }

  /** Leaves a message. False means that the mailbox is over its mark, and the sender should hold back. */
  tell(message: M): boolean {
    return this.write(message);
  }

  /** Leaves a message that carries a callback, and waits for what the actor passes to it. */
  ask<R>(build: (reply: (result: R) => void) => M): Promise<R> {
    return new Promise((resolve) => this.tell(build(resolve)));
  }

  protected abstract receive(message: M): void;

  override _write(message: M, _encoding: string, done: () => void): void {
    try {
      this.receive(message);
    } catch (err) {
      // One bad message must not end the actor: what it owns is still right, since decisions are made on copies
      // or checked before they change anything.
      this.log.error({ err }, "message failed");
    }
    done();
  }
}
