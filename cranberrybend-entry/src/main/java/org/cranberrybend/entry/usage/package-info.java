/** Counting what ran for each client account, and reporting it once per window. */
package org.cranberrybend.entry.usage;
