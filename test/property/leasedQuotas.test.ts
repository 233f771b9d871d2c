import { ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { LeasedQuotaModel, type LeasedQuotaFaults } from './LeasedQuotaModel.ts';

/** 11 a second, times 1.5, and 5 more. */
const ALLOWED = 21;
const RUN_MS = 30_000;
const CALM: LeasedQuotaFaults = {
  lossShare: 0,
  maxOfferDelayMs: 20,
  maxGrantDelayMs: 20,
  renewChance: 0.01,
  switchChance: 0,
  restartChance: 0,
};
const HARD: LeasedQuotaFaults = {
  lossShare: 0.1,
  maxOfferDelayMs: 6_000,
  maxGrantDelayMs: 300,
  renewChance: 0.05,
  switchChance: 0.05,
  restartChance: 0.003,
};

describe('quotas that hosts lease to placement coordinators', () => {
  [8, 30, 62].forEach((hostCount) => {
    it(`use most of the cold start limit in calm, from ${hostCount} hosts`, () => {
      const model = new LeasedQuotaModel(hostCount, new SeededRandomSource(1), CALM);
      model.run(RUN_MS, 1);
      const perSecond = (model.sentAtMs.length * 1_000) / RUN_MS;
      ok(model.mostInSecond <= ALLOWED, `${model.mostInSecond} sends in a second`);
      ok(perSecond >= 13, `${perSecond.toFixed(1)} sends a second`);
    });

    it(`keep the cold start limit while ${hostCount} hosts disagree on the coordinator`, () => {
      for (let seed = 1; seed <= 10; seed += 1) {
        const model = new LeasedQuotaModel(hostCount, new SeededRandomSource(seed), HARD);
        model.run(RUN_MS, 2);
        ok(model.mostInSecond <= ALLOWED, `seed ${seed}: ${model.mostInSecond} in a second`);
        ok(model.sentAtMs.length > 30, `seed ${seed}: ${model.sentAtMs.length} sends`);
      }
    });
  });
});
