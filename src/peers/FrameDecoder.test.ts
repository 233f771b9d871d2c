import { deepEqual, equal, throws } from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { encodeFrame } from './encodeFrame.ts';
import { FrameDecoder } from './FrameDecoder.ts';
import { FrameTooLargeError } from './FrameTooLargeError.ts';
import { MalformedFrameError } from './MalformedFrameError.ts';

const FUZZ = { seed: 20261203, numRuns: 2000 };
const LIMIT_BYTES = 1024;

function takeAll(decoder: FrameDecoder): unknown[] {
  const messages: unknown[] = [];
  for (let next = decoder.takeMessage(); next !== undefined; next = decoder.takeMessage()) {
    messages.push(next);
  }
  return messages;
}

function createFrame(body: number[]): Buffer {
  return Buffer.from([0, 0, 0, body.length, ...body]);
}

describe('FrameDecoder', () => {
  it('decodes every message regardless of how the stream is split', () => {
    const message = fc.array(fc.record({ kind: fc.string(), extra: fc.jsonValue() }));
    fc.assert(fc.property(message, fc.integer({ min: 1, max: 64 }), (messages, chunkBytes) => {
      const stream = Buffer.concat(messages.map((item) => encodeFrame(item)));
      const decoder = new FrameDecoder();
      const decoded: unknown[] = [];
      for (let offset = 0; offset < stream.length; offset += chunkBytes) {
        decoder.push(stream.subarray(offset, offset + chunkBytes));
        decoded.push(...takeAll(decoder));
      }
      deepEqual(JSON.parse(JSON.stringify(decoded)), JSON.parse(JSON.stringify(messages)));
    }), { seed: FUZZ.seed, numRuns: 300 });
  });

  it('throws only MalformedFrameError on arbitrary bytes and bounds its buffer', () => {
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 300 })), (chunks) => {
      const decoder = new FrameDecoder(LIMIT_BYTES);
      try {
        chunks.forEach((chunk) => {
          decoder.push(Buffer.from(chunk));
          takeAll(decoder);
          equal(decoder.bufferedBytes <= LIMIT_BYTES + 4, true);
        });
      } catch (error) {
        equal(error instanceof MalformedFrameError, true, String(error));
      }
    }), FUZZ);
  });

  it('throws only MalformedFrameError on frames with arbitrary bodies', () => {
    fc.assert(fc.property(fc.uint8Array({ minLength: 1, maxLength: 200 }), (body) => {
      const decoder = new FrameDecoder(LIMIT_BYTES);
      decoder.push(createFrame([...body]));
      try {
        takeAll(decoder);
      } catch (error) {
        equal(error instanceof MalformedFrameError, true, String(error));
      }
    }), FUZZ);
  });

  const malformed: [string, Buffer][] = [
    ['an empty frame', Buffer.from([0, 0, 0, 0])],
    ['a length above the limit', Buffer.from([0x7f, 0, 0, 0])],
    ['an array longer than its frame', createFrame([0x9a, 0x05, 0, 0, 0])],
    ['a string longer than its frame', createFrame([0x7a, 0x05, 0, 0, 0])],
    ['an indefinite length', createFrame([0x9f, 0xff])],
    ['a tag', createFrame([0xc1, 0x01])],
    ['bytes after the message', createFrame([0x01, 0x01])],
    ['deep nesting', createFrame([...Array(100).fill(0x81) as number[], 0x01])],
  ];
  malformed.forEach(([name, bytes]) => {
    it(`refuses ${name}`, () => {
      const decoder = new FrameDecoder(LIMIT_BYTES);
      decoder.push(bytes);
      throws(() => decoder.takeMessage(), MalformedFrameError);
    });
  });

  it('refuses a frame with a wrong authentication code', () => {
    const decoder = new FrameDecoder();
    decoder.setAuthenticated(LIMIT_BYTES, () => false);
    decoder.push(encodeFrame({ kind: 'heartbeat', padding: 'x'.repeat(32) }));
    throws(() => decoder.takeMessage(), MalformedFrameError);
  });
});

describe('encodeFrame', () => {
  it('refuses a message above the limit', () => {
    throws(() => encodeFrame('x'.repeat(100), 50), FrameTooLargeError);
  });
});
