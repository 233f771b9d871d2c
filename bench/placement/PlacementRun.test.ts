import { ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PLACEMENT_DEPLOYMENTS } from './PlacementDeployment.ts';
import { PlacementRun, type PlacementFigures, type PlacerKind } from './PlacementRun.ts';

const DURATION_MS = 12_000;
const BURST = { fromMs: 2_000, untilMs: 7_000, factor: 2.3 };

function runPlacement(deploymentName: string, placer: PlacerKind): PlacementFigures {
  const deployment = PLACEMENT_DEPLOYMENTS.find(({ name }) => name === deploymentName);
  ok(deployment);
  return new PlacementRun({
    deployment, placer, load: 1, bursts: [BURST], durationMs: DURATION_MS, seed: 3,
  }).run();
}

describe('PlacementRun', () => {
  ['small', 'uneven'].forEach((name) => {
    it(`earns more in a burst if one host places all requests, on ${name}`, () => {
      ok(runPlacement(name, 'one').worthFraction > 1.2 * runPlacement(name, 'alone').worthFraction);
    });
  });

  it('does not refuse a short target more often than a long one that waits behind it', () => {
    const { classes } = runPlacement('unequal', 'groups');
    const [short, long] = ['short target', 'long target'].map((name) => classes.get(name));
    ok(short && long);
    ok(short.refusedFraction <= long.refusedFraction + 0.05, JSON.stringify([short, long]));
  });

  it('earns nearly as much with a host for each placement group on a large fleet', () => {
    ok(runPlacement('large', 'groups').worthFraction
      > 0.9 * runPlacement('large', 'one').worthFraction);
  });
});
