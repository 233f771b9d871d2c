import { setTimeout as sleep } from 'node:timers/promises';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { ChildProgram } from '../fleet/ChildProgram.ts';
import { CONFIG_APPLY_MS } from './findConfigurationViolations.ts';
import { DRAIN_MS } from './findViolations.ts';
import { CONTACT_MS } from './measureCrashes.ts';
import type { RepeatBounds } from './RepeatBounds.ts';
import type { HostSpan } from './SoakRecord.ts';

/** Options of a soak host. */
export interface SoakHostOptions {
  readonly index: number;
  /** Folder for settings and logs. */
  readonly folder: string;
  /** Loopback address that only this host uses, since all hosts have the same ports. */
  readonly ip: string;
  readonly failureDomain: string;
  readonly storeAddress: string;
  readonly bounds: RepeatBounds;
  /** Memory that the settings allow the host; they name none by default. */
  readonly memoryMb?: number;
  /** Open descriptors that the settings allow the host; they name none by default. */
  readonly maxFds?: number;
  /** Flags of Node and a bundled program; the program from its sources by default. */
  readonly bundleArgs?: readonly string[];
  /** Called with each span in which the host did not run. */
  readonly onSpan: (span: HostSpan) => void;
}

const PORTS = {
  callers: 18_625, readiness: 18_621, peers: 17_740,
} as const;
const GRACE_S = 4;
const MS_PER_SECOND = 1_000;
const START_TIMEOUT_MS = 30_000;
/** Time after a start or resume in which a host is exempt from its promises. */
const EXEMPT_AFTER_START_MS = 1_000;

/** Entry host in a process of its own, stopped and restarted by signals. */
export class SoakHost {
  readonly #options: SoakHostOptions;

  readonly #settingsFile: string;

  #child: ChildProgram | null = null;

  #startCount = 0;

  #isBusy = false;

  /**
   * @param options - see {@link SoakHostOptions}
   */
  constructor(options: SoakHostOptions) {
    this.#options = options;
    this.#settingsFile = join(options.folder, `host-${options.index}.json`);
    writeFileSync(this.#settingsFile, JSON.stringify(this.#createSettings()));
  }

  /** Address that callers connect to. */
  get callerAddress(): { readonly host: string; readonly port: number } {
    return { host: this.#options.ip, port: PORTS.callers };
  }

  /** Process id; null before the first start. */
  get pid(): number | null {
    return this.#child?.pid ?? null;
  }

  /** Whether the process is running. */
  get isRunning(): boolean {
    return this.#child?.isRunning === true;
  }

  /** @returns resolves when the host serves requests */
  async start(): Promise<void> {
    this.#startCount += 1;
    const { folder, index } = this.#options;
    this.#child = await ChildProgram.start({
      name: `host ${index}`,
      args: this.#options.bundleArgs ?? ['platform/main.ts'],
      isBundled: this.#options.bundleArgs !== undefined,
      env: { PARSLEYLIFT_BOOT: this.#settingsFile },
      readyPattern: /"event":"started"/,
      startTimeoutMs: START_TIMEOUT_MS,
      logFile: join(folder, `host-${index}-${this.#startCount}.log`),
    });
  }

  /**
   * Terminates the process and starts it again.
   *
   * @param signal - `SIGTERM` for a graceful stop, `SIGKILL` for an abrupt one
   */
  async restart(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    await this.#runDisturbance(async (child) => {
      child.kill(signal);
      await child.exited;
      await this.start();
    });
  }

  /** @param durationMs - how long the process is suspended */
  async pause(durationMs: number): Promise<void> {
    await this.#runDisturbance(async (child) => {
      child.kill('SIGSTOP');
      await sleep(durationMs);
      child.kill('SIGCONT');
    });
  }

  /** Signals the process to reload its settings. */
  reload(): void {
    this.#child?.kill('SIGHUP');
  }

  /** Kills the process. */
  async stop(): Promise<void> {
    this.#child?.kill('SIGCONT');
    this.#child?.kill('SIGKILL');
    await this.#child?.exited;
  }

  async #runDisturbance(action: (child: ChildProgram) => Promise<void>): Promise<void> {
    if (this.#child === null || this.#isBusy) {
      return;
    }
    this.#isBusy = true;
    const fromMs = performance.now();
    await action(this.#child);
    this.#options.onSpan({
      hostIndex: this.#options.index, fromMs, untilMs: performance.now() + EXEMPT_AFTER_START_MS,
    });
    this.#isBusy = false;
  }

  #createSettings(): unknown {
    const {
      index, ip, failureDomain, storeAddress, bounds, memoryMb, maxFds,
    } = this.#options;
    return {
      node_name: `soak-${index}`,
      ip,
      zone: failureDomain,
      internal_port_range: [PORTS.peers, PORTS.peers + 1],
      listen: { front: `${ip}:${PORTS.callers}`, ready: `${ip}:${PORTS.readiness}` },
      limits: {
        cpu_share: 1, cores: 1, link_mbps: 1_000, memory_mb: memoryMb, max_fds: maxFds,
      },
      bounds: {
        contact_ms: CONTACT_MS,
        config_apply_ms: CONFIG_APPLY_MS,
        drain_ms: DRAIN_MS,
        retry_budget_ratio: bounds.ratio,
        budget_slack: bounds.slack,
        retry_window_s: bounds.windowMs / MS_PER_SECOND,
        cold_overshoot: 1.5,
        cold_slack: 5,
        grace_s: GRACE_S,
      },
      platform: { address: storeAddress },
    };
  }
}
