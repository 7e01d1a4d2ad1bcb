/** Loading and checking of JSON settings. */
package org.cranberrybend.runtime.settings;
