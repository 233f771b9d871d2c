import { setTimeout as sleep } from 'node:timers/promises';
import { Fleet } from '../../scripts/fleet/Fleet.ts';
import type { StandinCountsReport } from '../../standins/StandinCounts.ts';
import { FAULT_DEPLOYMENT } from './FAULT_DEPLOYMENT.ts';
import { FleetCaller, type CallerAnswer } from './FleetCaller.ts';

/** The service whose calls may not be repeated. */
export const SERVICE_ID = 'seat-ledger-1';

const REQUEST_COUNT = 24;
const FAULT_AFTER_REQUESTS = 12;
/** First requests, which end before the fault. */
const BEFORE_FAULT_COUNT = 6;
const SPACING_MS = 20;
const RETRY_COUNT = 2;
const RETRY_SPACING_MS = 500;
const RECOVERY_TRIES = 40;

/** A fault of real processes. */
export interface ProcessFault {
  readonly name: string;
  start(fleet: Fleet): Promise<void> | void;
  /** Ends the fault, after the caller's retries. */
  end(fleet: Fleet): Promise<void> | void;
}

function isNotRun(answer: CallerAnswer): boolean {
  return answer.kind === 'unsent' || (answer.kind === 'refused' && answer.notRun);
}

/** What the service ran, held against what the callers were told. */
export interface AtMostOnceResult {
  readonly ranTwice: readonly string[];
  readonly completedWithoutRun: readonly string[];
  readonly ranDespiteNotRun: readonly string[];
  /** Keys whose requests ended before the fault and are not complete. */
  readonly failedBeforeFault: readonly string[];
}

/** Calls that may not be repeated, through a fault, with retries at another entry host. */
export class AtMostOnceRun {
  readonly #fleet: Fleet;

  readonly #caller = new FleetCaller();

  readonly #answers = new Map<string, CallerAnswer[]>();

  private constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /**
   * @returns a run on a fleet of its own with two entry hosts
   */
  static async create(): Promise<AtMostOnceRun> {
    const fleet = await Fleet.create({ deployment: FAULT_DEPLOYMENT, hostCount: 2 });
    return new AtMostOnceRun(fleet);
  }

  /** Ends every process; one that is still frozen is thawed first. */
  async close(): Promise<void> {
    this.#fleet.hosts.forEach((host) => host.program.kill('SIGCONT'));
    await this.#caller.close();
    await this.#fleet.close();
  }

  /**
   * Sends calls to one host, strikes in their middle, and sends what is not complete again to the
   * other host, before and after the fault ends.
   *
   * @param fault - what goes wrong
   * @returns what the service ran against what the callers were told
   */
  async run(fault: ProcessFault): Promise<AtMostOnceResult> {
    const keys = Array.from({ length: REQUEST_COUNT }, (_, index) => `key-${index}`);
    const early = keys.slice(0, FAULT_AFTER_REQUESTS);
    const earlyCalls = await this.#sendSpaced(early);
    await Promise.all(earlyCalls.slice(0, BEFORE_FAULT_COUNT));
    const faultStart = fault.start(this.#fleet);
    const lateCalls = await this.#sendSpaced(keys.slice(FAULT_AFTER_REQUESTS));
    await faultStart;
    await this.#retry(RETRY_COUNT);
    await fault.end(this.#fleet);
    await Promise.all([...earlyCalls, ...lateCalls]);
    await this.#retry(1);
    return this.#createResult(keys);
  }

  /**
   * Sends new calls to the host that the fault struck.
   *
   * @returns null once one completes; otherwise how the last one ended
   */
  async findLastingFailure(): Promise<CallerAnswer | null> {
    for (let attempt = 0; attempt < RECOVERY_TRIES; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- until a call completes
      const answer = await this.#call(0, `key-after-${attempt}`);
      if (answer.kind === 'completed') {
        return null;
      }
      if (attempt + 1 === RECOVERY_TRIES) {
        return answer;
      }
      // eslint-disable-next-line no-await-in-loop -- with a pause
      await sleep(RETRY_SPACING_MS);
    }
    return null;
  }

  async #call(hostIndex: number, key: string): Promise<CallerAnswer> {
    const answers = this.#answers.get(key) ?? [];
    // Known from its send on, so that a key whose first call still waits is tried elsewhere.
    this.#answers.set(key, answers);
    const answer = await this.#caller.call(this.#fleet.hosts[hostIndex]?.httpUrl ?? '', {
      pipelineId: 'confirmation', input: `seat of ${key}`, idempotencyKey: key,
    });
    answers.push(answer);
    return answer;
  }

  async #sendSpaced(keys: readonly string[]): Promise<Promise<CallerAnswer>[]> {
    const calls: Promise<CallerAnswer>[] = [];
    while (calls.length < keys.length) {
      calls.push(this.#call(0, keys[calls.length] ?? ''));
      // eslint-disable-next-line no-await-in-loop -- requests come one after the other
      await sleep(SPACING_MS);
    }
    return calls;
  }

  async #retry(times: number): Promise<void> {
    if (times === 0) {
      return;
    }
    const open = [...this.#answers.keys()].filter((key) => !this.#isCompleted(key));
    await Promise.all(open.map((key) => this.#call(1, key)));
    await sleep(RETRY_SPACING_MS);
    await this.#retry(times - 1);
  }

  #isCompleted(key: string): boolean {
    return this.#answers.get(key)?.some(({ kind }) => kind === 'completed') === true;
  }

  async #createResult(keys: readonly string[]): Promise<AtMostOnceResult> {
    const response = await fetch(`${this.#fleet.upstreams.get(SERVICE_ID)?.url}/counts`);
    const report = await response.json() as StandinCountsReport;
    const getCount = (key: string) => report.executionsByIdempotencyKey[key] ?? 0;
    const isReportedNotRun = (key: string) => this.#answers.get(key)?.every(isNotRun) === true;
    return {
      ranTwice: keys.filter((key) => getCount(key) > 1),
      completedWithoutRun: keys.filter((key) => this.#isCompleted(key) && getCount(key) === 0),
      ranDespiteNotRun: keys.filter((key) => isReportedNotRun(key) && getCount(key) > 0),
      failedBeforeFault: keys.slice(0, BEFORE_FAULT_COUNT).filter((key) => !this.#isCompleted(key)),
    };
  }
}
