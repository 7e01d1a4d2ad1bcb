/** Error codes and run states. */
package org.cranberrybend.core.error;
