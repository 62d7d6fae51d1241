/** The frames between controllers: byte-for-byte compatible, since two versions of the program talk during an upgrade. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { decodeView, encodeView } from "../src/links/link-view.js";
import { decodeFrame, encodeFrame } from "../src/peers/peer-codec.js";
import { readFixture } from "./support/fixtures.js";
import { frameOf, linkViewOf, MESSAGES, type PeerFrameFixtures } from "./support/peer-frames.js";

const { frames, linkView } = readFixture("peer-frames") as PeerFrameFixtures;

const bytesOf = (hex: string): Uint8Array => new Uint8Array(Buffer.from(hex, "hex"));
const hexOf = (bytes: Uint8Array): string => Buffer.from(bytes).toString("hex");

void describe("peers/peer-codec", () => {
  for (const fixture of frames) {
    const { message, id, hex, hexWithLinkView } = fixture;
    test(`${message} (frame ${id}) is encoded to the bytes of the fixture`, () => {
      const frame = frameOf(fixture);
      assert.equal(hexOf(encodeFrame(frame)), hex);
      assert.equal(hexOf(encodeFrame({ ...frame, linkView: bytesOf(linkView.hex) })), hexWithLinkView);
    });

    test(`${message} (frame ${id}) is decoded to its meaning`, () => {
      const frame = frameOf(fixture);
      assert.deepEqual(decodeFrame(bytesOf(hex)), frame);
      const { linkView: view, ...rest } = decodeFrame(bytesOf(hexWithLinkView));
      assert.deepEqual(rest, frame);
      assert.equal(hexOf(view ?? new Uint8Array()), linkView.hex);
    });
  }

  test("every request and every reply has a fixture", () => {
    const covered = (reply: boolean): string[] => [
      ...new Set(frames.filter((frame) => frame.reply === reply).map(({ message }) => message)),
    ];
    assert.deepEqual(covered(false).sort(), [...MESSAGES.requests].sort());
    assert.deepEqual(covered(true).sort(), [...MESSAGES.replies].sort());
  });
});

void describe("links/link-view", () => {
  test("a link view is encoded to the bytes of the fixture and decoded to its meaning", () => {
    const view = linkViewOf(linkView.meaning);
    assert.equal(hexOf(encodeView(view)), linkView.hex);
    assert.deepEqual(decodeView(bytesOf(linkView.hex)), { ok: true, view });
  });
});
