import { connect, createServer } from 'node:net';

const LOOPBACK = '127.0.0.1';

/**
 * A link to one server. While it is cut, nothing passes either way: bytes, ends of connections and
 * new connections wait until it heals, as the packets that the systems send again do.
 */
export class Link {
  #pairs = new Set();

  #waiting = [];

  #isCut = false;

  #sockets = new Set();

  #port = 0;

  #server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, (front) => {
    front.on('error', () => {});
    if (this.#isCut) {
      this.#waiting.push(front);
    } else {
      this.#join(front);
    }
  });

  constructor(target) {
    this.target = target;
  }

  get address() {
    return `${LOOPBACK}:${this.#port}`;
  }

  async listen() {
    await new Promise((resolve) => {
      this.#server.listen(this.#port, LOOPBACK, resolve);
    });
    this.#port = this.#server.address().port;
  }

  /** Resets the channels and refuses new ones, until `accept`. */
  refuse() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Takes new channels again. */
  async accept() {
    await this.listen();
  }

  cut() {
    this.#isCut = true;
    this.#pairs.forEach((pair) => pair.pause());
  }

  heal() {
    this.#isCut = false;
    this.#pairs.forEach((pair) => pair.resume());
    this.#waiting.splice(0).forEach((front) => this.#join(front));
  }

  #join(front) {
    const [host, port] = this.target().split(':');
    const back = connect({ host, port: Number(port), allowHalfOpen: true });
    const held = [];
    let isPaused = false;
    const pass = (action) => {
      if (isPaused) {
        held.push(action);
      } else {
        action();
      }
    };
    const pair = {
      pause: () => {
        isPaused = true;
      },
      resume: () => {
        isPaused = false;
        held.splice(0).forEach((action) => action());
      },
    };
    this.#pairs.add(pair);
    [[front, back], [back, front]].forEach(([from, to]) => {
      from.on('data', (chunk) => pass(() => to.write(chunk)));
      from.on('end', () => pass(() => to.end()));
      from.on('error', () => pass(() => to.resetAndDestroy()));
      this.#sockets.add(from);
      from.on('close', () => {
        this.#sockets.delete(from);
        if (front.destroyed && back.destroyed) {
          this.#pairs.delete(pair);
        }
      });
    });
    front.resume();
  }
}
