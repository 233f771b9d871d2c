/* global performance, fetch */
import { spawn } from 'node:child_process';
import {
  mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { StoreStandin } from '../../standins/store/StoreStandin.ts';
import { HEARTBEAT_MS, RegisteredServer } from './RegisteredServer.mjs';

/** Bounds of the sheet of msa-seatdesk. */
export const BOUNDS = {
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
const PORTS = {
  front: 8625, ready: 8621, internal: 7740, metrics: 9464,
};
const START_LIMIT_MS = 20_000;
export const ZONE = 'mid-a';
export const HOST_NAME = 'case.example';
export const KEY = 'case-key';
export const TENANT = 'case-tenant';
export const isTroubled = process.env.TROUBLE !== '0';

/** Whether nothing listens on a port. */
function isFree(ip, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen({ host: ip, port }, () => server.close(() => resolve(true)));
  });
}

/** Finds a loopback address on which no port of an entry host is in use. */
async function findAddress(index) {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const network = 64 + Math.floor(Math.random() * 120);
    const ip = `127.${network}.${Math.floor(Math.random() * 250)}.${index + 1}`;
    // eslint-disable-next-line no-await-in-loop -- tries one address after the other
    const free = await Promise.all([
      PORTS.front, PORTS.ready, PORTS.internal, PORTS.internal + 1, PORTS.metrics,
    ].map((port) => isFree(ip, port)));
    if (free.every(Boolean)) {
      return ip;
    }
  }
  throw new Error('no free loopback address');
}

/** Waits until a host says that it is ready. */
async function waitUntilReady({ ip, child }) {
  const untilMs = performance.now() + START_LIMIT_MS;
  while (performance.now() < untilMs && child.exitCode === null) {
    // eslint-disable-next-line no-await-in-loop -- polls
    const status = await fetch(`http://${ip}:${PORTS.ready}/-/ready`)
      .then((response) => response.status, () => 0);
    if (status === 200) {
      return;
    }
    // eslint-disable-next-line no-await-in-loop -- polls
    await sleep(100);
  }
  throw new Error('a host did not become ready');
}

/** Entry hosts, the store and the record of one case. */
export class Bed {
  folder = mkdtempSync(join(tmpdir(), 'review-'));

  store = new StoreStandin();

  hosts = [];

  servers = [];

  #children = [];

  #lines = [];

  #startedAtMs = performance.now();

  constructor(caseFolder) {
    this.caseFolder = caseFolder;
    process.on('exit', () => this.#killAll());
    ['SIGTERM', 'SIGINT'].forEach((signal) => process.on(signal, () => process.exit(2)));
    process.on('uncaughtException', (error) => this.#giveUp(error));
    process.on('unhandledRejection', (error) => this.#giveUp(error));
  }

  /** Milliseconds since the case began. */
  get nowMs() {
    return Math.round(performance.now() - this.#startedAtMs);
  }

  /** Writes a line to the record, with its time. */
  log(text) {
    this.#lines.push(`${(this.nowMs / 1000).toFixed(3).padStart(8)} s  ${text}`);
  }

  register(id, fields) {
    const server = new RegisteredServer(this.store, id, {
      zone: ZONE, version: 'v1', slots: 6, state: 'ready', cold_left_ms: 0, ...fields,
    });
    this.servers.push(server);
    return server;
  }

  putManifest(version, { routes, services, keys = [KEY] }) {
    this.store.put('op/config', {
      version,
      routes,
      services,
      limits: {
        max_header_bytes: 16384,
        max_body_bytes: 4194304,
        header_timeout_ms: 3000,
        idle_timeout_ms: 15000,
      },
      tenants: [{ name: TENANT, api_keys: keys, priority: 1 }],
    });
    this.log(`manifest ${version} is in the store, keys ${keys.join(', ')}`);
  }

  /** Starts a program of a case in a process of its own. */
  spawn(file, args, env, name) {
    const output = openSync(join(this.folder, `${name}.log`), 'w');
    const child = spawn(process.execPath, [...args, file], {
      env: {
        PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, ...env,
      },
      stdio: ['ignore', output, output],
    });
    this.#children.push(child);
    return child;
  }

  /**
   * Starts an entry host with the command of the deploy file.
   *
   * @param storeAddress - address of the store or of a proxy before it
   */
  async startHost(storeAddress = this.store.address) {
    const index = this.hosts.length;
    const ip = await findAddress(index);
    const run = /^run = "node (.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))[1]
      .split(' ');
    const settingsFile = join(this.folder, `host-${index}.json`);
    writeFileSync(settingsFile, JSON.stringify({
      node_name: `front-${ZONE}-${index + 1}`,
      role: 'entry',
      machine_class: 'front',
      serves: ['front'],
      ip,
      zone: ZONE,
      region: 'midlands',
      zones: { [ZONE]: 'midlands' },
      listen: { front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}` },
      internal_port_range: [PORTS.internal, PORTS.internal + 15],
      seeds: [],
      bootstrap: true,
      fault_counted: false,
      limits: {
        cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0,
      },
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: HEARTBEAT_MS,
      fault_tolerance: { machines: 2, zones: 1, regions: 0 },
      bounds: BOUNDS,
      platform: {
        address: storeAddress,
        form: 'kv',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
        ttl_min_ms: 1000,
      },
    }));
    const child = this.spawn(
      run.at(-1),
      run.slice(0, -1),
      { PARSLEYLIFT_BOOT: settingsFile },
      `host-${index}`,
    );
    const host = {
      name: `host ${index + 1}`, ip, port: PORTS.front, child,
    };
    this.hosts.push(host);
    await waitUntilReady(host);
    this.log(`${host.name} is ready at ${ip}`);
    return host;
  }

  /** Writes the record, ends all processes and exits. */
  finish(exitCode, summary) {
    this.log(`exit ${exitCode}: ${summary}`);
    writeFileSync(join(this.caseFolder, 'record.txt'), `${this.#lines.join('\n')}\n`);
    process.stdout.write(`exit ${exitCode}: ${summary}\n`);
    process.exit(exitCode);
  }

  #giveUp(error) {
    this.finish(2, `the case could not run: ${error?.stack ?? error}`);
  }

  #killAll() {
    this.#children.forEach((child) => {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
    });
    if (process.env.KEEP !== '1') {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }
}

/** Entry of a service in a manifest. */
export function createService(name) {
  return {
    name,
    health_path: '/health',
    max_connections: 110,
    protocol: 'h1',
    tls: false,
    cold_start_s: 0,
    cold_per_s: 0,
  };
}

/** Entry of a route in a manifest. */
export function createRoute(name, fields) {
  return {
    name,
    host: HOST_NAME,
    prefix: `/${name}/`,
    kind: 'unsafe',
    timeout_ms: 3000,
    target_latency_ms: 340,
    priority: 0,
    service: name,
    max_attempts: 2,
    no_auth: false,
    session_affinity: false,
    stream_resume: false,
    ...fields,
  };
}
