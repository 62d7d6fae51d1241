/**
 * An actor: it owns its state, and the only way in is a message. It is a Writable stream in object mode, so that streams
 * can be piped into it and a sender can see from `writableNeedDrain` that it is behind.
 */
import { Writable } from "node:stream";
import type { Logger } from "pino";

/** The most messages that wait in a mailbox before senders should hold back. */
const MAILBOX_SIZE = 1024;

/** The base of all actors: a mailbox, from which one message is received at a time. */
export abstract class Actor<Message> extends Writable {
  constructor(
    protected readonly log: Logger,
    mailboxSize = MAILBOX_SIZE,
  ) {
    super({ objectMode: true, highWaterMark: mailboxSize });
  }

  /** Puts a message into the mailbox. False means that the mailbox is full, and that the sender should hold back. */
  tell(message: Message): boolean {
    return this.write(message);
  }

  /** Sends a message that carries a reply callback, and resolves to what the actor passes to it. */
  ask<Reply>(buildMessage: (reply: (result: Reply) => void) => Message): Promise<Reply> {
    return new Promise((resolve) => this.tell(buildMessage(resolve)));
  }

  /** Handles one message. */
  protected abstract receive(message: Message): void;

  /** Processes one message; called by the stream, one message at a time. */
  override _write(message: Message, _encoding: string, done: () => void): void {
    try {
      this.receive(message);
    } catch (err) {
      // One bad message must not end the actor: its state is still right, since decisions are made on copies or checked
      // before they change anything.
      this.log.error({ err }, "message failed");
    }
    done();
  }
}
