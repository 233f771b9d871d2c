const HTML_ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', '\'': '&#39;',
};

/**
 * Makes text harmless in HTML, in elements and in quoted attributes.
 *
 * @param text - any text
 * @returns the text with the special characters as references
 */
export function escapeHtml(text: string): string {
  return text.replace(/[&<>"']/g, (character) => HTML_ESCAPES[character] ?? character);
}

/** A cell of a table; `tone` colours it. */
export interface HtmlCell {
  readonly text: string | number;
  readonly severity?: 'good' | 'warning' | 'bad';
}

function renderCell({ text, severity: tone }: HtmlCell): string {
  const classes = [
    ...typeof text === 'number' ? ['number'] : [],
    ...tone === undefined ? [] : [tone],
  ];
  const attribute = classes.length === 0 ? '' : ` class="${classes.join(' ')}"`;
  return `<td${attribute}>${escapeHtml(String(text))}</td>`;
}

/**
 * Writes a table.
 *
 * @param headings - one for each column
 * @param rows - the cells
 * @returns the markup; a remark when there is no row
 */
export function renderTable(
  headings: readonly string[],
  rows: readonly (readonly HtmlCell[])[],
): string {
  if (rows.length === 0) {
    return '<p class="none">none</p>';
  }
  const head = headings.map((heading) => `<th scope="col">${escapeHtml(heading)}</th>`).join('');
  const body = rows.map((row) => `<tr>${row.map(renderCell).join('')}</tr>`).join('\n');
  return `<table><thead><tr>${head}</tr></thead>\n<tbody>${body}</tbody></table>`;
}

/**
 * Writes a titled part of a page.
 *
 * @param title - its heading
 * @param markup - its content
 * @returns the markup
 */
export function renderSection(title: string, markup: string): string {
  return `<section><h2>${escapeHtml(title)}</h2>\n${markup}</section>`;
}
