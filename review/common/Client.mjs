/* global Buffer, clearTimeout, setTimeout */
import { randomBytes } from 'node:crypto';
import { connect } from 'node:net';

/** @returns a new request id, as clients make them */
export function createRequestId() {
  return randomBytes(8).toString('hex');
}

function decodeChunks(bytes) {
  let text = '';
  let rest = bytes;
  for (;;) {
    const line = rest.indexOf('\r\n');
    if (line < 0) {
      return { text, isComplete: false };
    }
    const size = Number.parseInt(rest.subarray(0, line).toString('latin1'), 16);
    if (size === 0) {
      return { text, isComplete: rest.length >= line + 4 };
    }
    text += rest.subarray(line + 2, line + 2 + size).toString('latin1');
    if (rest.length < line + 2 + size + 2) {
      return { text, isComplete: false };
    }
    rest = rest.subarray(line + 2 + size + 2);
  }
}

/** Parses an answer of which all or a part has come. */
function parseAnswer(bytes) {
  const headEnd = bytes.indexOf('\r\n\r\n');
  if (headEnd < 0) {
    return {
      bytes, status: null, headers: {}, text: '', framing: 'none', isMarkedComplete: false,
    };
  }
  const [statusLine, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n');
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(':');
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  const status = Number(statusLine.split(' ')[1]);
  const rest = bytes.subarray(headEnd + 4);
  if (headers['transfer-encoding'] !== undefined) {
    const { text, isComplete } = decodeChunks(rest);
    return {
      bytes, status, headers, text, framing: 'chunks', isMarkedComplete: isComplete,
    };
  }
  if (headers['content-length'] !== undefined) {
    const length = Number(headers['content-length']);
    return {
      bytes,
      status,
      headers,
      text: rest.toString('latin1'),
      framing: 'length',
      isMarkedComplete: rest.length >= length,
    };
  }
  return {
    bytes, status, headers, text: rest.toString('latin1'), framing: 'none', isMarkedComplete: false,
  };
}

/**
 * Sends one request on a new channel and reads whatever comes until the answer's end, the end of
 * the channel, or the deadline.
 *
 * @param address - host and port
 * @param request - `method`, `path`, `headers`, `body`, `deadlineMs`
 * @returns what was seen: `bytes`, `status`, `headers`, `text`, and how it ended (`end`: `marked`,
 * `closed`, `reset` or `deadline`)
 */
export function sendRequest(address, {
  method, path, headers, body = '', deadlineMs, onData = () => {},
}) {
  return new Promise((resolve) => {
    const socket = connect(address.port, address.host);
    let bytes = Buffer.alloc(0);
    let isDone = false;
    const timer = { id: null };
    const finish = (end) => {
      if (!isDone) {
        isDone = true;
        clearTimeout(timer.id);
        socket.destroy();
        resolve({ ...parseAnswer(bytes), end });
      }
    };
    timer.id = setTimeout(() => finish('deadline'), deadlineMs);
    socket.on('connect', () => {
      const lines = [
        `${method} ${path} HTTP/1.1`,
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
        ...(body === '' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
      ];
      socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
    });
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      onData(chunk);
      if (parseAnswer(bytes).isMarkedComplete) {
        finish('marked');
      }
    });
    socket.on('end', () => finish('closed'));
    socket.on('error', () => finish('reset'));
    socket.on('close', () => finish('reset'));
  });
}
