import yargs from 'yargs';
import { EngineStandin } from './EngineStandin.ts';
import { PlatformStandin } from './PlatformStandin.ts';
import { ServiceStandin } from './ServiceStandin.ts';
import { StagePoolStandin } from './StagePoolStandin.ts';

/*
 * Runs one stand-in in this process and prints {"url"} on one line. SIGTERM stops it.
 * Example: node --import tsx standins/runStandin.ts engine --options '{"tokenCount":32}'
 */
const FACTORIES = {
  platform: PlatformStandin,
  engine: EngineStandin,
  stagePool: StagePoolStandin,
  service: ServiceStandin,
};
type StandinKind = keyof typeof FACTORIES;
const KINDS = Object.keys(FACTORIES) as StandinKind[];

const args = await yargs(process.argv.slice(2))
  .command('$0 <kind>', 'start one stand-in', (builder) => builder.positional('kind', {
    choices: KINDS, demandOption: true, describe: 'kind of component',
  }))
  .option('options', { type: 'string', default: '{}', describe: 'options, as JSON' })
  .strict()
  .parseAsync();

const standin = await FACTORIES[args.kind as StandinKind].create(JSON.parse(args.options));
console.log(JSON.stringify({ url: standin.url }));

function stop(): void {
  standin.close().then(() => process.exit(0), () => process.exit(1));
}
process.once('SIGTERM', stop);
process.once('SIGINT', stop);
