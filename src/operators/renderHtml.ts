const HTML_ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', '\'': '&#39;',
};

/**
 * Escapes text for use in HTML elements and quoted attributes.
 *
 * @param text - any text
 * @returns the text with special characters replaced by character references
 */
export function escapeHtml(text: string): string {
  return text.replace(/[&<>"']/g, (character) => HTML_ESCAPES[character] ?? character);
}

/** Cell of a table; `severity` selects its colour. */
export interface HtmlCell {
  readonly text: string | number;
  readonly severity?: 'good' | 'warning' | 'bad';
}

function renderCell({ text, severity }: HtmlCell): string {
  const classes = [
    ...typeof text === 'number' ? ['number'] : [],
    ...severity === undefined ? [] : [severity],
  ];
  const attribute = classes.length === 0 ? '' : ` class="${classes.join(' ')}"`;
  return `<td${attribute}>${escapeHtml(String(text))}</td>`;
}

/**
 * Renders a table.
 *
 * @param headings - one heading for each column
 * @param rows - the cells
 * @returns the markup; the text `none` when there are no rows
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
 * Renders a section of a page.
 *
 * @param title - heading of the section
 * @param markup - content of the section
 * @returns the markup
 */
export function renderSection(title: string, markup: string): string {
  return `<section><h2>${escapeHtml(title)}</h2>\n${markup}</section>`;
}
