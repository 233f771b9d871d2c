/* global fetch */
import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

const START_TIMEOUT_MS = 20_000;
const READY_CHECK_MS = 50;
/** The bounds of a small installation, as SYSTEM.md gives them. */
const BOUNDS = {
  seed_lag_s: 3,
  address_reuse_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  downgrade_slack_ms: 250,
  outer_ms: 5000,
  strict_revocation: false,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  budget_slack: 56,
  cold_overshoot: 1.5,
  cold_slack: 5,
  evacuate_ms: 5000,
  recovery_s: 12,
  pass_ms: 120,
  reuse_window_s: 9.7,
};

async function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds a loopback address that nobody uses, for the ports that all hosts share. */
async function findFreeIp(ports) {
  for (;;) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    const ip = `127.${part()}.${part()}.${part()}`;
    // eslint-disable-next-line no-await-in-loop -- tries one address after the other
    const areFree = await Promise.all(ports.map((port) => isFree(ip, port)));
    if (areFree.every(Boolean)) {
      return ip;
    }
  }
}

const PORTS = {
  callers: 18_625,
  readiness: 18_621,
  control: 18_628,
  peers: 17_740,
  forwarding: 17_741,
  metrics: 9464,
};

/** Reads the words of the deploy file's line `run`. */
function readRunWords() {
  const line = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1];
  if (line === undefined) {
    throw new Error('deploy/system.toml has no line run');
  }
  return line.split(' ');
}

/** One entry host in a process of its own, started as the deploy file says. */
export class Host {
  #options;

  #child = null;

  #exited = Promise.resolve();

  #startCount = 0;

  ip = '';

  constructor(options) {
    this.#options = options;
  }

  get name() {
    return this.#options.name;
  }

  get pid() {
    return this.#child.pid;
  }

  get callerAddress() {
    return { host: this.ip, port: PORTS.callers };
  }

  get isRunning() {
    return this.#child !== null && this.#child.exitCode === null
      && this.#child.signalCode === null;
  }

  /** Text that tells how the process ended. */
  get exitText() {
    return `code ${this.#child.exitCode}, signal ${this.#child.signalCode}`;
  }

  async start() {
    const { name, folder } = this.#options;
    if (this.ip === '') {
      this.ip = await findFreeIp(Object.values(PORTS));
    }
    const settingsFile = join(folder, `${name}.json`);
    writeFileSync(settingsFile, JSON.stringify(this.#createSettings()));
    this.#startCount += 1;
    const [program, ...args] = readRunWords();
    const {
      PATH, HOME, LANG,
    } = process.env;
    this.#child = spawn(program === 'node' ? process.execPath : program, args, {
      env: {
        PATH, HOME, LANG, PARSLEYLIFT_BOOT: settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(folder, `${name}-${this.#startCount}.log`));
    this.#child.stdout.pipe(log, { end: false });
    this.#child.stderr.pipe(log, { end: false });
    const child = this.#child;
    const killAtExit = () => child.kill('SIGKILL');
    process.once('exit', killAtExit);
    this.#exited = new Promise((resolve) => {
      child.once('exit', () => {
        process.off('exit', killAtExit);
        resolve();
      });
    });
    await this.#waitUntilReady();
  }

  kill(signal) {
    this.#child.kill(signal);
  }

  async waitForExit() {
    await this.#exited;
  }

  async stop() {
    if (this.#child !== null) {
      this.#child.kill('SIGCONT');
      this.#child.kill('SIGKILL');
      await this.#exited;
    }
  }

  async #waitUntilReady() {
    const untilMs = Date.now() + START_TIMEOUT_MS;
    while (Date.now() < untilMs && this.isRunning) {
      // eslint-disable-next-line no-await-in-loop -- polls
      const isReady = await fetch(`http://${this.ip}:${PORTS.readiness}/-/ready`)
        .then(async (response) => {
          await response.text();
          return response.status === 200;
        }, () => false);
      if (isReady) {
        return;
      }
      // eslint-disable-next-line no-await-in-loop -- polls
      await sleep(READY_CHECK_MS);
    }
    throw new Error(`${this.#options.name} did not become ready`);
  }

  #createSettings() {
    const { name, zone, storeAddress } = this.#options;
    const { ip } = this;
    return {
      node_name: name,
      role: 'entry',
      machine_class: 'front',
      serves: ['front'],
      ip,
      zone,
      region: 'midlands',
      internal_port_range: [PORTS.peers, PORTS.peers + 15],
      seeds: [],
      bootstrap: true,
      fault_counted: false,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      zones: { 'mid-a': 'midlands', 'mid-b': 'midlands', 'mid-c': 'midlands' },
      listen: {
        front: `${ip}:${PORTS.callers}`,
        ready: `${ip}:${PORTS.readiness}`,
        control: `${ip}:${PORTS.control}`,
      },
      limits: {
        cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0,
      },
      fault_tolerance: { machines: 2, zones: 1, regions: 0 },
      bounds: BOUNDS,
      platform: {
        address: storeAddress,
        form: 'kv',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1_048_576,
        ttl_min_ms: 1000,
      },
    };
  }
}
