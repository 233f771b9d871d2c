/* global Buffer, URL, clearInterval, clearTimeout, setInterval, setTimeout */
import { createServer } from 'node:http';
import { text as readText } from 'node:stream/consumers';

const PAGE_SIZE = 500;
const LEASE_CHECK_MS = 50;
const HISTORY_MS = 20_000;
const STATUS = {
  ok: 200,
  badRequest: 400,
  forbidden: 403,
  notFound: 404,
  gone: 410,
  conflict: 412,
  unavailable: 503,
};

/** In-memory stand-in for the platform's store: items, leases, a history, and watches. */
export class Store {
  #items = new Map();

  #leases = new Map();

  #events = [];

  #listeners = new Set();

  #revision = 100;

  #oldestRevision = 100;

  #leaseCount = 77_000;

  #doors = [];

  #timer = setInterval(() => this.#expire(), LEASE_CHECK_MS);

  /**
   * Opens an address of the store for one machine.
   *
   * @returns the door: its `address`, and `isBusy`, which turns the machine away with 503 while it
   * is true
   */
  async openDoor() {
    const door = { address: '', isBusy: false, server: null };
    door.server = createServer((request, response) => {
      if (door.isBusy) {
        request.resume();
        response.writeHead(STATUS.unavailable, { 'Store-Era': '1', 'Content-Length': 0 }).end();
        return;
      }
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#doors.push(door);
    await new Promise((resolve) => {
      door.server.listen(0, '127.0.0.1', resolve);
    });
    door.address = `127.0.0.1:${door.server.address().port}`;
    return door;
  }

  /** Writes a value as the operator or an engine does. */
  put(key, value) {
    this.#revision += 1;
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.#notify();
  }

  /** Removes a key as the operator or an engine does. */
  remove(key) {
    this.#revision += 1;
    this.#delete(key);
    this.#notify();
  }

  /** Returns the rest of the key with a prefix that was created first. */
  getOldest(prefix) {
    const [oldest] = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix))
      .sort((left, right) => left.created - right.created);
    return oldest?.key.slice(prefix.length);
  }

  close() {
    clearInterval(this.#timer);
    this.#doors.forEach(({ server }) => {
      server.close();
      server.closeAllConnections();
    });
  }

  async #handle(request, response) {
    const body = await readText(request);
    const url = new URL(request.url, 'http://store');
    const { status, fields } = await this.#answer(request.method, url, body, response);
    const text = JSON.stringify(fields);
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      'Store-Era': '1',
    });
    response.end(text);
  }

  async #answer(method, url, body, response) {
    const fields = body === '' ? {} : JSON.parse(body);
    const [, , call, id] = url.pathname.split('/');
    switch (`${method} ${call}`) {
      case 'GET kv-key':
        return this.#getItem(url.searchParams.get('key'));
      case 'GET kv-range':
        return this.#getRange(url.searchParams);
      case 'GET kv-watch':
        return this.#watch(url.searchParams, response);
      case 'POST kv-txn':
        return this.#apply(fields);
      case 'POST kv-lease':
        return this.#createLease(fields.ttl_ms);
      case 'POST kv-keep':
        return this.#renew(Number(id));
      case 'DELETE kv-lease-end':
        return this.#end(Number(id));
      default:
        return { status: STATUS.badRequest, fields: {} };
    }
  }

  #getItem(key) {
    const item = this.#items.get(key);
    return item === undefined
      ? { status: STATUS.notFound, fields: {} }
      : { status: STATUS.ok, fields: { ...item, as_of: this.#revision } };
  }

  #getRange(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const items = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return {
      status: STATUS.ok,
      fields: {
        items: items.slice(0, PAGE_SIZE),
        has_more: items.length > PAGE_SIZE,
        as_of: this.#revision,
      },
    };
  }

  async #watch(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const find = () => this.#events
      .filter(({ key, rev }) => rev > after && key.startsWith(prefix));
    if (after < this.#oldestRevision || after > this.#revision) {
      return { status: STATUS.gone, fields: {} };
    }
    if (find().length === 0) {
      await new Promise((resolve) => {
        const wait = { timer: null };
        const onChange = () => {
          if (find().length > 0 || response.destroyed) {
            clearTimeout(wait.timer);
            this.#listeners.delete(onChange);
            resolve();
          }
        };
        wait.timer = setTimeout(() => {
          this.#listeners.delete(onChange);
          resolve();
        }, Number(query.get('wait_ms')));
        this.#listeners.add(onChange);
        response.once('close', onChange);
      });
    }
    return { status: STATUS.ok, fields: { events: find(), as_of: this.#revision } };
  }

  #apply({ expected = [], writes = [], remove = [] }) {
    const isForbidden = (key) => key.startsWith('op/') || key.startsWith('servers/');
    if ([...writes.map(({ key }) => key), ...remove].some(isForbidden)) {
      return { status: STATUS.forbidden, fields: {} };
    }
    if (!expected.every(({ key, rev }) => (this.#items.get(key)?.rev ?? 0) === rev)) {
      const items = expected.flatMap(({ key }) => this.#items.get(key) ?? []);
      return { status: STATUS.conflict, fields: { items } };
    }
    if (!writes.every(({ lease = 0 }) => lease === 0 || this.#leases.has(lease))) {
      return { status: STATUS.notFound, fields: {} };
    }
    this.#revision += 1;
    writes.forEach(({ key, value, lease = 0 }) => this.#write(key, value, lease));
    remove.forEach((key) => this.#delete(key));
    this.#notify();
    return { status: STATUS.ok, fields: { rev: this.#revision } };
  }

  #createLease(ttlMs) {
    this.#leaseCount += 1;
    this.#leases.set(this.#leaseCount, { ttlMs, endsAtMs: Date.now() + ttlMs });
    return { status: STATUS.ok, fields: { lease: this.#leaseCount, ttl_ms: ttlMs } };
  }

  #renew(id) {
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return { status: STATUS.notFound, fields: {} };
    }
    lease.endsAtMs = Date.now() + lease.ttlMs;
    return { status: STATUS.ok, fields: {} };
  }

  #end(id) {
    if (!this.#leases.delete(id)) {
      return { status: STATUS.notFound, fields: {} };
    }
    const keys = [...this.#items.values()].filter(({ lease }) => lease === id);
    if (keys.length > 0) {
      this.#revision += 1;
      keys.forEach(({ key }) => this.#delete(key));
      this.#notify();
    }
    return { status: STATUS.ok, fields: {} };
  }

  #expire() {
    [...this.#leases].filter(([, { endsAtMs }]) => endsAtMs <= Date.now())
      .forEach(([id]) => this.#end(id));
    const oldest = this.#events.find(({ atMs }) => atMs > Date.now() - HISTORY_MS);
    const keptRevision = oldest === undefined ? this.#revision : oldest.rev - 1;
    if (keptRevision > this.#oldestRevision) {
      this.#oldestRevision = keptRevision;
      this.#events = this.#events.filter(({ rev }) => rev > keptRevision);
    }
  }

  #write(key, value, lease) {
    const created = this.#items.get(key)?.created ?? this.#revision;
    const item = {
      key, value, rev: this.#revision, created, lease,
    };
    this.#items.set(key, item);
    this.#events.push({ ...item, atMs: Date.now() });
  }

  #delete(key) {
    if (this.#items.delete(key)) {
      this.#events.push({
        key, rev: this.#revision, deleted: true, atMs: Date.now(),
      });
    }
  }

  #notify() {
    [...this.#listeners].forEach((listener) => listener());
  }
}
