/** Usage counted per client account, request class and service. */
package org.cranberrybend.core.usage;
