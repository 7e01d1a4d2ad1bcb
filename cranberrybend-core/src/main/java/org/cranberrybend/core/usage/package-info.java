/** Usage counters per client account, request class and service, and the billing windows that are sealed from them. */
package org.cranberrybend.core.usage;
