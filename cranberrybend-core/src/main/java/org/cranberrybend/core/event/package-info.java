/** Events, the hybrid logical clock that orders them, and the merged timeline of several processes. */
package org.cranberrybend.core.event;
