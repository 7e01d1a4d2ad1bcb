/** Services with start and stop, and the base class of all programs. */
package org.cranberrybend.runtime.lifecycle;
