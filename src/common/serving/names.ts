/** Names of nodes, data centres and services. */

/** U+FFFD stands for bytes that are not UTF-8, so that several keys have the same text. */
const NAME = /^[^\p{Cc}\ufffd]{1,200}$/u;

/** Whether a text may be a name, as the settings allow it. */
export function isName(text: string): boolean {
  return NAME.test(text);
}
