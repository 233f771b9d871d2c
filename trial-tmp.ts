import { runFaultCase } from './test/faults/runFaultCase.ts';
import { FAULTS } from './test/faults/FAULTS.ts';
const f = (n: string) => FAULTS.find((x) => x.name === n)!;
const { trace } = runFaultCase([{ fault: f('cold without warning'), step: 'accept' }, { fault: f('cut between hosts, one way'), step: 'configure' }], 1);
console.log('refused', trace.answers.filter((a) => a.answer.kind === 'refused').length);
trace.arrivals.filter((a) => a.upstreamId.startsWith('ledger') && a.atMs > 600).forEach((a) => console.log(Math.round(a.atMs), a.upstreamId, a.requestId, trace.submissions.find((s) => s.requestId === a.requestId)!.hostIndex, a.runningCount));
