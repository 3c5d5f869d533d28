/** Writes the generated pages to docs/. */
import * as fs from 'node:fs';

import * as docsContent from './docs_content.js';

for (const page of docsContent.pages()) fs.writeFileSync(page.path, page.text);
