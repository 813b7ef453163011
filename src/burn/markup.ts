/** Pieces of HTML. */

/** Escapes text for content and quoted attributes. */
export function escape(text: string): string {
  return text.replace(/&/g, "&amp;").replace(/</g, "&lt;")
    .replace(/>/g, "&gt;").replace(/"/g, "&quot;");
}

/** An element around text that is escaped here. */
export function element(tag: string, text: string, attributes = ""): string {
  const open = attributes === "" ? tag : `${tag} ${attributes}`;
  return `<${open}>${escape(text)}</${tag}>`;
}
