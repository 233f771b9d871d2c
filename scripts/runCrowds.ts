import { CROWDS, type Crowd } from '../test/crowds/CROWDS.ts';
import { CrowdBed } from '../test/crowds/CrowdBed.ts';

/*
 * Runs each crowd of clients, and all of them at once, against a host, and prints what was
 * measured. Arguments: clients of each kind, memory of the host in MB.
 */
const clientCount = Number(process.argv[2] ?? 120);
const memoryMb = Number(process.argv[3] ?? 350);
const MAX_FDS = 4_100;
const NODE_FLAGS = ['--max-old-space-size=128', '--max-semi-space-size=2'];

/** Runs crowds at once against a new host and prints a line. */
async function measure(name: string, crowds: readonly Crowd[]): Promise<void> {
  const bed = new CrowdBed({ memoryMb, maxFds: MAX_FDS, nodeFlags: NODE_FLAGS });
  try {
    await bed.start();
    const {
      peakMb, peakSockets, isRunning, isServedDuring, isServedAfter,
    } = await bed.run(crowds);
    console.log(`| ${name} | ${clientCount} | ${Math.round(peakMb)} | ${peakSockets} | ${
      isRunning ? 'lives' : 'ended'} | ${isServedDuring ? 'yes' : 'no'} | ${
      isServedAfter ? 'yes' : 'no'} |`);
  } finally {
    await bed.close();
  }
}

console.log('| clients | number | peak MB | sockets | process | served during | served after |');
console.log('| --- | --- | --- | --- | --- | --- | --- |');
// eslint-disable-next-line no-restricted-syntax -- one at a time, since they are measured
for (const crowd of CROWDS) {
  // eslint-disable-next-line no-await-in-loop -- as above
  await measure(crowd.name, [{ ...crowd, clientCount }]);
}
const mixedCount = Math.ceil(clientCount / CROWDS.length);
await measure('all kinds at once', CROWDS.map((crowd) => ({ ...crowd, clientCount: mixedCount })));
