import {
  createConnection, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** What a proxy does to what passes through it. */
export type ProxyFault = 'none' | 'delay' | 'silent' | 'cutAnswers';

const LOOPBACK = '127.0.0.1';
const DELAY_MS = 150;

/** A socket that is ending already can't be reset: Node would wait for its end for ever at exit. */
function resetSocket(socket: Socket): void {
  if (socket.writableEnded || socket.connecting) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}

/** Stands between the hosts and one upstream, or the store, and harms what passes. */
export class SoakProxy {
  readonly #targetPort: number;

  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  /** Sockets to which bytes were lost. */
  readonly #deaf = new WeakSet<Socket>();

  /** What it does now. */
  fault: ProxyFault = 'none';

  /**
   * @param targetPort - port on loopback that it leads to
   */
  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((caller) => this.#join(caller));
  }

  /** IP address and port for the hosts. */
  get address(): string {
    return `${LOOPBACK}:${(this.#server.address() as AddressInfo).port}`;
  }

  /** @returns when it listens */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, LOOPBACK, resolve);
    });
  }

  /** Resets all open connections. */
  reset(): void {
    this.#sockets.forEach(resetSocket);
  }

  /** Ends it. */
  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #join(caller: Socket): void {
    const target = createConnection({ host: LOOPBACK, port: this.#targetPort });
    [caller, target].forEach((socket) => {
      socket.setNoDelay(true);
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
      // The other side hears of it through its own close.
      socket.on('error', () => socket.destroy());
    });
    caller.on('close', () => target.destroy());
    target.on('close', () => caller.destroy());
    caller.on('data', (chunk: Buffer) => this.#pass(chunk, target, ['silent']));
    target.on('data', (chunk: Buffer) => this.#pass(chunk, caller, ['silent', 'cutAnswers']));
  }

  #pass(chunk: Buffer, to: Socket, losingFaults: readonly ProxyFault[]): void {
    // A direction that has lost bytes stays silent, as it would on a real network.
    if (losingFaults.includes(this.fault)) {
      this.#deaf.add(to);
    }
    if (this.#deaf.has(to)) {
      return;
    }
    if (this.fault === 'delay') {
      setTimeout(() => to.write(chunk), DELAY_MS);
    } else {
      to.write(chunk);
    }
  }
}
