/** Formats and escapes HTML. */

/** Escapes text for use as element content or in a quoted attribute. */
export function escapeHtml(text: string): string {
  return text.replace(/&/g, "&amp;").replace(/</g, "&lt;")
    .replace(/>/g, "&gt;").replace(/"/g, "&quot;");
}

/** Formats an element; escapes `text`, but not `attributes`. */
export function formatElement(
  tag: string,
  text: string,
  attributes = "",
): string {
  const startTag = attributes === "" ? tag : `${tag} ${attributes}`;
  return `<${startTag}>${escapeHtml(text)}</${tag}>`;
}
