import {
  createConnection, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** Fault that a proxy applies to its traffic. */
export type ProxyFault =
  | 'none' | 'delay' | 'hold' | 'silent' | 'cutAnswers'
  /** Resets a connection right after some bytes of an answer. */
  | 'resetAnswers';

const LOOPBACK = '127.0.0.1';
const DELAY_MS = 150;
/** Most parts of answers that a connection passes before it is reset. */
const MAX_PARTS_BEFORE_RESET = 6;

/** Destroys a socket that is ending: if it were reset, Node would wait for it forever at exit. */
function resetSocket(socket: Socket): void {
  if (socket.writableEnded || socket.connecting) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}

/** Proxy between the hosts and one upstream or the store that injects connection faults. */
export class SoakProxy {
  readonly #targetPort: number;

  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  /** Sockets that a fault has dropped bytes to. */
  readonly #silencedSockets = new WeakSet<Socket>();

  #fault: ProxyFault = 'none';

  #connectionCount = 0;

  /** Port that it listens on; 0 for any, before the first time. */
  #port = 0;

  /** Writes and ends that are delayed while traffic is held, as for a suspended process. */
  readonly #heldActions: (() => void)[] = [];

  /**
   * @param targetPort - loopback port that the proxy forwards to
   */
  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((caller) => this.#connectToTarget(caller));
  }

  /** Fault that is active now. */
  get fault(): ProxyFault {
    return this.#fault;
  }

  set fault(fault: ProxyFault) {
    this.#fault = fault;
    if (fault !== 'hold') {
      this.#heldActions.splice(0).forEach((action) => action());
    }
  }

  /** IP address and port that hosts connect to. */
  get address(): string {
    return `${LOOPBACK}:${this.#port}`;
  }

  /** @returns resolves when the proxy listens */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(this.#port, LOOPBACK, resolve);
    });
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Resets all open connections. */
  reset(): void {
    this.#sockets.forEach(resetSocket);
  }

  /** Resets all open connections and refuses new ones, until `accept`. */
  refuse(): void {
    this.#server.close();
    this.reset();
  }

  /** @returns resolves when new connections are accepted again, at the same address */
  async accept(): Promise<void> {
    await this.listen();
  }

  /** Stops listening and destroys all connections. */
  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #connectToTarget(caller: Socket): void {
    const target = createConnection({ host: LOOPBACK, port: this.#targetPort });
    [caller, target].forEach((socket) => {
      socket.setNoDelay(true);
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
      // The 'close' listener below closes the other socket.
      socket.on('error', () => socket.destroy());
    });
    caller.on('close', () => this.#closeTarget(target));
    target.on('close', () => caller.destroy());
    caller.on('data', (chunk: Buffer) => this.#forward(chunk, target, ['silent']));
    const partsBeforeReset = 1 + (this.#connectionCount % MAX_PARTS_BEFORE_RESET);
    this.#connectionCount += 1;
    let partCount = 0;
    target.on('data', (chunk: Buffer) => {
      this.#forward(chunk, caller, ['silent', 'cutAnswers']);
      partCount += 1;
      if (this.#fault === 'resetAnswers' && partCount >= partsBeforeReset) {
        resetSocket(caller);
      }
    });
  }

  /** A suspended target reads all data sent before it sees the end of the connection. */
  #closeTarget(target: Socket): void {
    if (this.#fault === 'hold') {
      this.#heldActions.push(() => target.end());
    } else {
      target.destroy();
    }
  }

  #forward(chunk: Buffer, to: Socket, losingFaults: readonly ProxyFault[]): void {
    // A direction that has lost bytes stays silent, as on a real network.
    if (losingFaults.includes(this.#fault)) {
      this.#silencedSockets.add(to);
    }
    if (this.#silencedSockets.has(to)) {
      return;
    }
    if (this.#fault === 'hold') {
      this.#heldActions.push(() => to.write(chunk));
    } else if (this.#fault === 'delay') {
      setTimeout(() => to.write(chunk), DELAY_MS);
    } else {
      to.write(chunk);
    }
  }
}
