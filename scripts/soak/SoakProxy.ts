import {
  createConnection, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** What a proxy does to what passes through it. */
export type ProxyFault = 'none' | 'delay' | 'hold' | 'silent' | 'cutAnswers';

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
  readonly #silencedSockets = new WeakSet<Socket>();

  #fault: ProxyFault = 'none';

  /** What waits while everything is held back, as before a process that stands still. */
  readonly #heldActions: (() => void)[] = [];

  /**
   * @param targetPort - port on loopback that it leads to
   */
  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((caller) => this.#connectToTarget(caller));
  }

  /** What it does now. */
  get fault(): ProxyFault {
    return this.#fault;
  }

  set fault(fault: ProxyFault) {
    this.#fault = fault;
    if (fault !== 'hold') {
      this.#heldActions.splice(0).forEach((action) => action());
    }
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

  #connectToTarget(caller: Socket): void {
    const target = createConnection({ host: LOOPBACK, port: this.#targetPort });
    [caller, target].forEach((socket) => {
      socket.setNoDelay(true);
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
      // The other side hears of it through its own close.
      socket.on('error', () => socket.destroy());
    });
    caller.on('close', () => this.#closeTarget(target));
    target.on('close', () => caller.destroy());
    caller.on('data', (chunk: Buffer) => this.#forward(chunk, target, ['silent']));
    target.on('data', (chunk: Buffer) => this.#forward(chunk, caller, ['silent', 'cutAnswers']));
  }

  /** A target that stands still reads what was sent before it sees the end. */
  #closeTarget(target: Socket): void {
    if (this.#fault === 'hold') {
      this.#heldActions.push(() => target.end());
    } else {
      target.destroy();
    }
  }

  #forward(chunk: Buffer, to: Socket, losingFaults: readonly ProxyFault[]): void {
    // A direction that has lost bytes stays silent, as it would on a real network.
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
