"""The components of `wheatroute.decide.Balancer`: the types of its interface and one module per concern.

For a new request, `request_lifecycle` calls `request_admission` to create its `Request`, then
`attempt_sender` to send it, or `queue_management` to queue it. `hedging` and `retry_rules` determine when it
is sent again, and `final_answers` ends it. `server_subset` holds the servers that the node sends to;
`server_selection` chooses among them. `membership_updates` and `settings_updates` apply changes of the server
list and of the settings. `outcome_recorder` and `load_reports` record measurements and load reports.
`periodic_tasks` runs the periodic work, and `components` creates and connects everything.
"""
