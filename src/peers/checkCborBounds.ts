import { MalformedFrameError } from './MalformedFrameError.ts';

const MAX_DEPTH = 32;
const INLINE_ARGUMENT_LIMIT = 24;
const LONGEST_ARGUMENT_INFO = 27;
const MAJOR_TYPE_SHIFT = 5;
const ADDITIONAL_INFO_MASK = 0x1f;
const MAJOR_TYPE = {
  byteString: 2, textString: 3, array: 4, map: 5, tag: 6, simple: 7,
} as const;

interface Head {
  readonly majorType: number;
  readonly argument: number;
  readonly endOffset: number;
}

function readHead(body: Buffer, offset: number): Head {
  const first = body.readUInt8(offset);
  // eslint-disable-next-line no-bitwise -- layout of RFC 8949, section 3
  const majorType = first >> MAJOR_TYPE_SHIFT;
  // eslint-disable-next-line no-bitwise -- layout of RFC 8949, section 3
  const info = first & ADDITIONAL_INFO_MASK;
  if (info < INLINE_ARGUMENT_LIMIT) {
    return { majorType, argument: info, endOffset: offset + 1 };
  }
  if (info > LONGEST_ARGUMENT_INFO) {
    throw new MalformedFrameError('indefinite or reserved length');
  }
  const sizeBytes = 2 ** (info - INLINE_ARGUMENT_LIMIT);
  const argument = sizeBytes === 8
    ? Number(body.readBigUInt64BE(offset + 1))
    : body.readUIntBE(offset + 1, sizeBytes);
  return { majorType, argument, endOffset: offset + 1 + sizeBytes };
}

/** Returns the number of items directly inside an item, or the bytes to skip after its head. */
function getContent(head: Head): { itemCount: number; skipBytes: number } {
  switch (head.majorType) {
    case MAJOR_TYPE.byteString:
    case MAJOR_TYPE.textString:
      return { itemCount: 0, skipBytes: head.argument };
    case MAJOR_TYPE.array:
      return { itemCount: head.argument, skipBytes: 0 };
    case MAJOR_TYPE.map:
      return { itemCount: 2 * head.argument, skipBytes: 0 };
    case MAJOR_TYPE.tag:
      throw new MalformedFrameError('tags are not allowed');
    default:
      return { itemCount: 0, skipBytes: 0 };
  }
}

/** Visits all items with an explicit stack of open containers. */
function walkItems(body: Buffer): void {
  const openCounts = [1];
  let offset = 0;
  let declaredItems = 1;
  while (openCounts.length > 0) {
    const depth = openCounts.length - 1;
    const openCount = openCounts[depth] ?? 0;
    if (openCount === 0) {
      openCounts.pop();
    } else {
      openCounts[depth] = openCount - 1;
      const head = readHead(body, offset);
      const content = getContent(head);
      offset = head.endOffset + content.skipBytes;
      declaredItems += content.itemCount;
      // Each item takes at least one byte, so a larger sum means that a declared length is wrong.
      if (declaredItems > body.length || offset > body.length) {
        throw new MalformedFrameError('declared lengths exceed the frame');
      }
      if (openCounts.length > MAX_DEPTH) {
        throw new MalformedFrameError(`nesting is deeper than ${MAX_DEPTH} levels`);
      }
      openCounts.push(content.itemCount);
    }
  }
  if (offset !== body.length) {
    throw new MalformedFrameError('bytes after the message');
  }
}

/**
 * Checks the structure of a CBOR item (RFC 8949) before it is decoded, since a decoder allocates
 * arrays by their declared length. The memory of the decoder is then bounded by the frame's size.
 *
 * @param body - exactly one encoded item
 * @throws MalformedFrameError when the structure is incomplete, is nested too deep or uses tags
 */
export function checkCborBounds(body: Buffer): void {
  try {
    walkItems(body);
  } catch (error) {
    if (error instanceof RangeError) {
      throw new MalformedFrameError('the message is truncated');
    }
    throw error;
  }
}
