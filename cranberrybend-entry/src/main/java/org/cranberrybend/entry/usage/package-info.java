/** Usage counts: requests executed for each client account in each window. */
package org.cranberrybend.entry.usage;
