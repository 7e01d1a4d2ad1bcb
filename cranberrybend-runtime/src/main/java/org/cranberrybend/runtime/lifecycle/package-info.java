/** Services that are started and stopped, and the base class of daemons. */
package org.cranberrybend.runtime.lifecycle;
