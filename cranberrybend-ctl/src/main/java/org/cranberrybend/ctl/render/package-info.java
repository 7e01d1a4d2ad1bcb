/** Output as a table, JSON, timeline text or HTML. */
package org.cranberrybend.ctl.render;
