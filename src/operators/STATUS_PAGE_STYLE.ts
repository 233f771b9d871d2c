/** Style sheet of the status page. */
export const STATUS_PAGE_STYLE = `
:root { color-scheme: light dark; --line: #8884; --dim: #777; --good: #187a3c; --warning: #a65f00;
  --bad: #b3261e; }
@media (prefers-color-scheme: dark) {
  :root { --dim: #999; --good: #5fd08a; --warning: #f0b35a; --bad: #ff8a80; }
}
body { margin: 0 auto; max-width: 100rem; padding: 0.75rem 1rem;
  font: 13px/1.35 system-ui, sans-serif; }
h1 { font-size: 1.25rem; margin: 0 0 0.25rem; }
h2 { font-size: 1rem; margin: 0 0 0.25rem; }
header p { margin: 0.15rem 0; }
main { display: grid; gap: 0.9rem 1.75rem; margin-top: 0.9rem; align-items: start;
  grid-template-columns: minmax(38rem, 1.5fr) repeat(auto-fit, minmax(22rem, 1fr)); }
/* The pools are by far the longest table, so they get a column of their own. */
section:first-child { grid-row: span 8; }
@media (max-width: 62rem) { main { grid-template-columns: 1fr; } }
section { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; }
th, td { border-bottom: 1px solid var(--line); padding: 0.08rem 0.7rem 0.1rem 0; text-align: left;
  white-space: nowrap; }
th { color: var(--dim); font-weight: 500; }
td.number { font-variant-numeric: tabular-nums; }
.good { color: var(--good); }
.warning { color: var(--warning); font-weight: 600; }
.bad { color: var(--bad); font-weight: 600; }
.none { color: var(--dim); margin: 0; }
`;
