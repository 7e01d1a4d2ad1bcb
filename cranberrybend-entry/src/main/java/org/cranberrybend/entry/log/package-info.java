/** Decision log: one JSON line for each decision on a request or belief. */
package org.cranberrybend.entry.log;
