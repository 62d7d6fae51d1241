/** Frames between controllers stay compatible byte for byte: two versions of the program talk during an upgrade. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { decodeView, encodeView } from "../src/links/link-view.js";
import { decodeFrame, encodeFrame } from "../src/peers/peer-codec.js";
import { readFixture } from "./support/fixtures.js";
import {
  toExpectedFrame,
  toExpectedLinkView,
  MESSAGE_NAMES,
  type PeerFrameFixtures,
} from "./support/peer-frames.js";

const { frames, linkView } = readFixture("peer-frames") as PeerFrameFixtures;

const fromHex = (hex: string): Uint8Array => new Uint8Array(Buffer.from(hex, "hex"));
const toHex = (bytes: Uint8Array): string => Buffer.from(bytes).toString("hex");

void describe("peers/peer-codec", () => {
  for (const fixture of frames) {
    const { message, id, hex, hexWithLinkView } = fixture;
    test(`${message} (frame ${id}) is encoded to the bytes in the fixture`, () => {
      const frame = toExpectedFrame(fixture);
      assert.equal(toHex(encodeFrame(frame)), hex);
      assert.equal(toHex(encodeFrame({ ...frame, linkView: fromHex(linkView.hex) })), hexWithLinkView);
    });

    test(`${message} (frame ${id}) is decoded to the expected frame, with and without a link view`, () => {
      const frame = toExpectedFrame(fixture);
      assert.deepEqual(decodeFrame(fromHex(hex)), frame);
      const { linkView: view, ...rest } = decodeFrame(fromHex(hexWithLinkView));
      assert.deepEqual(rest, frame);
      assert.equal(toHex(view ?? new Uint8Array()), linkView.hex);
    });
  }

  test("every kind of request and reply has a fixture", () => {
    const messagesWithFixture = (reply: boolean): string[] => [
      ...new Set(frames.filter((frame) => frame.reply === reply).map(({ message }) => message)),
    ];
    assert.deepEqual(messagesWithFixture(false).sort(), [...MESSAGE_NAMES.requests].sort());
    assert.deepEqual(messagesWithFixture(true).sort(), [...MESSAGE_NAMES.replies].sort());
  });
});

void describe("links/link-view", () => {
  test("a link view is encoded to the bytes in the fixture, and these are decoded to the same view", () => {
    const view = toExpectedLinkView(linkView.meaning);
    assert.equal(toHex(encodeView(view)), linkView.hex);
    assert.deepEqual(decodeView(fromHex(linkView.hex)), { ok: true, view });
  });
});
