/* global URL */
import { spawn } from 'node:child_process';
import {
  closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const START_TIMEOUT_MS = 20_000;
const MAX_RUN_MS = 110_000;
const PORTS = { front: 18_625, ready: 18_621, peers: 17_740 };
const children = new Set();

/** Kills all processes that were started here and still run. */
export function killAll() {
  children.forEach((child) => child.kill('SIGKILL'));
  children.clear();
}

process.on('exit', killAll);
['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((signal) => process.on(signal, () => process.exit(2)));
// A run that hangs ends as one that could not run.
setTimeout(() => process.exit(2), MAX_RUN_MS).unref();

/** @returns {string[]} the words of the line `run` of the deploy file */
function getRunCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Draws a loopback network for one run, so that runs side by side don't meet. */
export function drawNetwork() {
  const part = () => 1 + Math.floor(Math.random() * 250);
  return `127.${part()}.${part()}`;
}

/** Folder for settings and logs, removed at the end. */
export function createFolder() {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  process.on('exit', () => rmSync(folder, { recursive: true, force: true }));
  return folder;
}

/** An entry host, started with the command of the deploy file. */
export class Host {
  constructor({
    name, ip, zone, storeAddress, bounds, folder,
  }) {
    this.name = name;
    this.ip = ip;
    this.address = { host: ip, port: PORTS.front };
    this.settingsFile = join(folder, `${name}.json`);
    this.logFile = join(folder, `${name}.log`);
    writeFileSync(this.settingsFile, JSON.stringify({
      node_name: name,
      role: 'entry',
      machine_class: 'front',
      serves: ['front'],
      ip,
      zone,
      region: 'region',
      internal_port_range: [PORTS.peers, PORTS.peers + 15],
      seeds: [],
      bootstrap: true,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1_200,
      listen: { front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}` },
      limits: {
        cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4_100, link_mbps: 1_000,
      },
      bounds,
      platform: { address: storeAddress, form: 'kv' },
    }));
  }

  async start() {
    const [program, ...args] = getRunCommand();
    const log = openSync(this.logFile, 'a');
    const sizeBefore = readFileSync(this.logFile).length;
    this.child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, PARSLEYLIFT_BOOT: this.settingsFile },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    const { child } = this;
    children.add(child);
    child.once('exit', () => children.delete(child));
    for (let waitedMs = 0; waitedMs < START_TIMEOUT_MS; waitedMs += 50) {
      if (this.readLog().subarray(sizeBefore).includes('"event":"started"')) {
        return;
      }
      if (child.exitCode !== null) {
        break;
      }
      // eslint-disable-next-line no-await-in-loop -- polls the log
      await sleep(50);
    }
    throw new Error(`${this.name} did not start: ${this.readLog().toString().slice(-500)}`);
  }

  readLog() {
    return readFileSync(this.logFile);
  }

  signal(name) {
    this.child.kill(name);
  }
}
