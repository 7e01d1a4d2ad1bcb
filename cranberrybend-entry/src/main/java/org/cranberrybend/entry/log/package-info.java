/** Event log: one JSON line for each decision on a request and for each change of state. */
package org.cranberrybend.entry.log;
