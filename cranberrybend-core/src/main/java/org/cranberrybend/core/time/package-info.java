/** Time sources. */
package org.cranberrybend.core.time;
