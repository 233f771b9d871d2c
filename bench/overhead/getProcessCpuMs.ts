import { readFileSync } from 'node:fs';

/** Linux reports processor time in hundredths of a second (`man 5 proc`, `man 3 sysconf`). */
const MS_PER_CLOCK_TICK = 10;
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/**
 * Reads the processor time that a process has used.
 *
 * @param pid - id of a process on this machine
 * @returns the processor time of all its threads, in milliseconds
 */
export function getProcessCpuMs(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The program's name, in parentheses, may contain spaces; the fields after it are numbers.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  return ticks * MS_PER_CLOCK_TICK;
}
