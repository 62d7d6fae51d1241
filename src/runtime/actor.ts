/**
 * The base class of actors, whose state is changed only by the messages that they receive. An actor is a Writable
 * stream in object mode: streams can be piped into it, and `writableNeedDrain` tells senders that its mailbox is full.
 */
import { Writable } from "node:stream";
import type { Logger } from "pino";

/** Number of queued messages at which a mailbox counts as full and senders should hold back. */
const MAILBOX_SIZE = 1024;

/** An actor with a mailbox, whose messages are processed one at a time in the order of arrival. */
export abstract class Actor<Message> extends Writable {
  constructor(
    protected readonly log: Logger,
    mailboxSize = MAILBOX_SIZE,
  ) {
    super({ objectMode: true, highWaterMark: mailboxSize });
  }

  /** Enqueues a message. Returns false if the mailbox is full and the sender should hold back. */
  tell(message: Message): boolean {
    return this.write(message);
  }

  /** Sends a message with a reply callback, and resolves to the value that the actor passes to the callback. */
  ask<Reply>(buildMessage: (reply: (result: Reply) => void) => Message): Promise<Reply> {
    return new Promise((resolve) => this.tell(buildMessage(resolve)));
  }

  /** Handles one message. */
  protected abstract receive(message: Message): void;

  /** Called by the stream for one message at a time; errors are logged. */
  override _write(message: Message, _encoding: string, done: () => void): void {
    try {
      this.receive(message);
    } catch (err) {
      // An error in one message must not end the actor. Its state stays consistent, since decisions are made on copies
      // or validated before they change anything.
      this.log.error({ err }, "error while processing an actor message");
    }
    done();
  }
}
