/** Error codes, and whether a failed request was executed. */
package org.cranberrybend.core.error;
