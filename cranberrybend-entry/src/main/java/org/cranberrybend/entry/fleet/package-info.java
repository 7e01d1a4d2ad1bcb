/** What instances tell each other when the platform's store turns some of them away. */
package org.cranberrybend.entry.fleet;
