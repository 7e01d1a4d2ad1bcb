/** Loading and validation of JSON settings. */
package org.cranberrybend.runtime.settings;
