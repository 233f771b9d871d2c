import { formatMoney, formatPercent } from '../lib/formatValues.ts';
import type { HostStatus, UpstreamStatus } from './HostStatus.ts';
import {
  escapeHtml, renderSection, renderTable, type HtmlCell,
} from './renderHtml.ts';
import { STATUS_PAGE_STYLE } from './STATUS_PAGE_STYLE.ts';

/** Attainment below which a pipeline is shown as a warning. */
const MIN_GOOD_ATTAINMENT = 0.99;

const REFRESH_SECONDS = 5;

function getStateCell(upstream: UpstreamStatus): HtmlCell {
  if (upstream.isDrained) {
    return { text: `${upstream.state}, drained`, severity: 'warning' };
  }
  return { text: upstream.state, severity: upstream.state === 'warm' ? 'good' : 'warning' };
}

function renderPools({ pools }: HostStatus): string {
  const rows = pools.flatMap((pool) => pool.upstreams.map((upstream): HtmlCell[] => [
    { text: pool.poolId },
    { text: upstream.upstreamId },
    { text: upstream.failureDomainId },
    getStateCell(upstream),
    { text: upstream.inFlightCount },
    { text: upstream.limit },
  ]));
  const headings = ['pool', 'upstream', 'failure domain', 'state', 'in flight', 'limit'];
  return renderTable(headings, rows);
}

function renderDomains({ failureDomains }: HostStatus): string {
  const rows = failureDomains.map((domain): HtmlCell[] => [
    { text: domain.failureDomainId },
    { text: domain.hostCount },
    { text: domain.upstreamCount },
    domain.isDrained ? { text: 'drained', severity: 'warning' } : { text: 'in service', severity: 'good' },
  ]);
  return renderTable(['failure domain', 'hosts', 'upstreams', 'state'], rows);
}

function renderMembers({ members, configurationVersion }: HostStatus): string {
  const rows = members.map((member): HtmlCell[] => [
    { text: member.hostId },
    { text: member.failureDomainId },
    { text: member.state, severity: member.state === 'alive' ? 'good' : 'warning' },
    {
      text: member.configurationVersion,
      ...member.configurationVersion < configurationVersion ? { severity: 'warning' as const } : {},
    },
  ]);
  return renderTable(['host', 'failure domain', 'state', 'configuration'], rows);
}

function renderAttainment({ attainment }: HostStatus): string {
  const rows = attainment.map(({ pipelineId, requestCount, onTimeCount }): HtmlCell[] => {
    const fraction = requestCount === 0 ? 1 : onTimeCount / requestCount;
    return [
      { text: pipelineId },
      { text: requestCount },
      { text: onTimeCount },
      {
        text: requestCount === 0 ? '-' : formatPercent(fraction),
        severity: fraction >= MIN_GOOD_ATTAINMENT ? 'good' : 'warning',
      },
    ];
  });
  return renderTable(['pipeline', 'requests', 'in time', 'attainment'], rows);
}

function renderLatencies({ stageLatencies }: HostStatus): string {
  const rows = stageLatencies.map((row): HtmlCell[] => [
    { text: row.pipelineId === '' ? row.stageId : `${row.pipelineId}/${row.stageId}` },
    { text: row.count },
    { text: row.p50Ms },
    { text: row.p95Ms },
    { text: row.p99Ms },
  ]);
  return renderTable(['stage', 'attempts', 'p50 ms', 'p95 ms', 'p99 ms'], rows);
}

function renderCosts(heading: string, costs: HostStatus['costByStage']): string {
  const rows = costs.map((row): HtmlCell[] => [
    { text: row.name }, { text: row.attemptCount }, { text: formatMoney(row.costMicros) },
  ]);
  return renderTable([heading, 'attempts', 'cost'], rows);
}

function renderRefusals({ refusals }: HostStatus): string {
  const rows = refusals.map((row): HtmlCell[] => [{ text: row.code }, { text: row.count }]);
  return renderTable(['refusal', 'count'], rows);
}

function renderHeader(status: HostStatus): string {
  const readiness = status.isReady
    ? '<span class="good">ready</span>'
    : `<span class="bad">not ready: ${escapeHtml(status.notReadyReason)}</span>`;
  const platform = status.isPlatformReachable
    ? '<span class="good">platform reachable</span>'
    : '<span class="bad">platform not reachable</span>';
  const drains = status.drains.map(({ kind, id }) => escapeHtml(`${kind} ${id}`)).join(', ');
  const drainLine = drains === ''
    ? '<p class="none">nothing is drained</p>'
    : `<p class="warning">drained: ${drains}</p>`;
  return `<header><h1>${escapeHtml(status.hostId)} in ${escapeHtml(status.failureDomainId)}</h1>
<p>${readiness}, ${platform}, configuration version ${status.configurationVersion},
incarnation ${escapeHtml(status.incarnationId)}</p>
${drainLine}</header>`;
}

/**
 * Writes the status of a host as one page of plain HTML that loads nothing else.
 *
 * @param status - as the host sees the system
 * @returns the page
 */
export function renderStatusPage(status: HostStatus): string {
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<meta http-equiv="refresh" content="${REFRESH_SECONDS}">
<title>${escapeHtml(status.hostId)} - parsleylift</title>
<style>${STATUS_PAGE_STYLE}</style></head>
<body>${renderHeader(status)}
<main>
${renderSection('Pools', renderPools(status))}
${renderSection('Failure domains', renderDomains(status))}
${renderSection('Entry hosts', renderMembers(status))}
${renderSection('Deadline attainment since the start', renderAttainment(status))}
${renderSection('Latency by stage', renderLatencies(status))}
${renderSection('Cost by stage, this host', renderCosts('stage', status.costByStage))}
${renderSection('Cost by account, this host', renderCosts('account', status.costByAccount))}
${renderSection('Refusals', renderRefusals(status))}
</main></body></html>
`;
}
