import {
  createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { TEST_IP } from './getFreePort.ts';

/** How an upstream answers one request, as drawn by a test. */
export interface ScriptedAnswer {
  readonly status: 'ok' | 'refused' | 'failed';
  readonly framing: 'length' | 'chunks' | 'none';
  /** Informational answers before the final one. */
  readonly informationalCount: number;
  /** Number of writes that the body is divided into. */
  readonly partCount: number;
  /**
   * What follows the parts that are written: `cut` and `reset` leave the last part out, `restart`
   * cuts and starts the process again, and the copies are second answers to the same request.
   */
  readonly ending:
    | 'open' | 'close' | 'cut' | 'reset' | 'resetLater' | 'restart' | 'silent'
    | 'copyAtOnce' | 'copyBeforeNext';
}

const HEAD_END = '\r\n\r\n';
const ID_LINE = /^x-request-id: (\S+)$/im;
const STATUS_LINES: Readonly<Record<ScriptedAnswer['status'], string>> = {
  ok: 'HTTP/1.1 200 OK',
  refused: 'HTTP/1.1 503 Full\r\nX-Not-Executed: 1',
  failed: 'HTTP/1.1 500 Failed',
};
const CUT_ENDINGS: readonly ScriptedAnswer['ending'][] = ['cut', 'reset', 'restart', 'silent'];

/**
 * @param requestId - id of the answered request
 * @param answer - the drawn answer
 * @returns the body of the whole answer
 */
export function getScriptedBody(requestId: string, { status, partCount }: ScriptedAnswer): string {
  return Array.from({ length: partCount }, (_, index) => (
    `part ${index} of ${partCount}, ${status}, for ${requestId}\n`)).join('');
}

/** @returns whether the answer lacks its last part */
export function isCutAnswer({ ending }: ScriptedAnswer): boolean {
  return CUT_ENDINGS.includes(ending);
}

function encodePart(part: string, { framing }: ScriptedAnswer): string {
  return framing === 'chunks' ? `${part.length.toString(16)}\r\n${part}\r\n` : part;
}

function encodeHead(requestId: string, body: string, answer: ScriptedAnswer): string {
  const framing = {
    length: [`Content-Length: ${body.length}`],
    chunks: ['Transfer-Encoding: chunked'],
    none: ['Connection: close'],
  }[answer.framing];
  return [
    ...Array.from({ length: answer.informationalCount }, () => 'HTTP/1.1 103 Early Hints\r\n'),
    STATUS_LINES[answer.status], `X-Request-Id: ${requestId}`, ...framing, '', '',
  ].join('\r\n');
}

/** Upstream that answers requests without a body as scripted, one after the other. */
export class ScriptedUpstream {
  readonly #server: Server = createServer((socket) => this.#read(socket));

  readonly #sockets = new Set<Socket>();

  /** Answers that are written before the next one on their connection. */
  readonly #copies = new Map<Socket, string>();

  #answers: ScriptedAnswer[] = [];

  /** Ids of the requests that arrived. */
  readonly arrivedIds: string[] = [];

  /** Whether its process has ended since the last script began. */
  hasRestarted = false;

  /** Called when it goes silent in the middle of an answer. */
  onSilent: (() => void) | null = null;

  /** Base URL. */
  get url(): string {
    return `http://${TEST_IP}:${(this.#server.address() as AddressInfo).port}`;
  }

  /** @returns when it listens */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, TEST_IP, resolve);
    });
  }

  /** @param answers - how the next requests are answered */
  setScript(answers: readonly ScriptedAnswer[]): void {
    this.#answers = [...answers];
    this.arrivedIds.length = 0;
  }

  /** Closes all connections in order, as the kernel does for a process that was killed. */
  closeConnections(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.closeConnections();
  }

  #read(socket: Socket): void {
    let text = '';
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('latin1');
      if (text.endsWith(HEAD_END)) {
        const requestId = ID_LINE.exec(text)?.[1] ?? '';
        text = '';
        this.#answer(socket, requestId).catch(() => socket.destroy());
      }
    });
  }

  async #answer(socket: Socket, requestId: string): Promise<void> {
    const answer = this.#answers.shift();
    this.arrivedIds.push(requestId);
    if (answer === undefined) {
      socket.destroy();
      return;
    }
    const copy = this.#copies.get(socket);
    if (copy !== undefined) {
      this.#copies.delete(socket);
      socket.write(copy);
    }
    const body = getScriptedBody(requestId, answer);
    socket.write(encodeHead(requestId, body, answer));
    const parts = body.match(/[^\n]*\n/g) ?? [];
    const written = isCutAnswer(answer) ? parts.slice(0, -1) : parts;
    for (let index = 0; index < written.length; index += 1) {
      if (index > 0) {
        // eslint-disable-next-line no-await-in-loop -- each part is a write of its own
        await nextTurn();
      }
      socket.write(encodePart(written[index] ?? '', answer));
    }
    if (!isCutAnswer(answer) && answer.framing === 'chunks') {
      socket.write('0\r\n\r\n');
    }
    await this.#end(socket, requestId, answer);
  }

  async #end(socket: Socket, requestId: string, answer: ScriptedAnswer): Promise<void> {
    const whole = (): string => {
      const body = getScriptedBody(requestId, answer);
      return encodeHead(requestId, body, { ...answer, framing: 'length' }) + body;
    };
    switch (answer.ending) {
      case 'silent':
        this.onSilent?.();
        return;
      case 'reset':
        socket.resetAndDestroy();
        return;
      case 'resetLater':
        await nextTurn();
        socket.resetAndDestroy();
        return;
      case 'restart':
        this.hasRestarted = true;
        this.closeConnections();
        return;
      case 'cut':
      case 'close':
        socket.end();
        return;
      case 'copyAtOnce':
        // Whatever follows an answer without a mark would be a part of it.
        socket.write(answer.framing === 'none' ? '' : whole());
        break;
      case 'copyBeforeNext':
        this.#copies.set(socket, whole());
        break;
      default:
        break;
    }
    if (answer.framing === 'none') {
      socket.end();
    }
  }
}
